#pragma once

#include <catkintally/core/fleet/admission_client.hpp>
#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/fleet/heartbeat_tracker.hpp>
#include <catkintally/core/fleet/member_state.hpp>
#include <catkintally/core/fleet/service_owner.hpp>
#include <catkintally/core/fleet/view_manager.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Pause between two heartbeats.
inline constexpr duration heartbeat_interval = std::chrono::milliseconds(100);

/// Silence after which a member is suspected by a member that hears a majority.
inline constexpr duration suspicion_time = std::chrono::milliseconds(500);

/// Silence after which a member is removed by a member that hears no majority. Longer, so that a
/// connected majority removes an isolated member first and not the other way round.
inline constexpr duration minority_suspicion_time = std::chrono::seconds(3);

/// Hooks and inputs of a fleet_node.
struct fleet_node_options
{
    timer_service* timers = nullptr;
    object_store* store = nullptr;
    /// This instance. The incarnation must differ from that of earlier runs.
    member self;
    std::uint64_t seed = 0;
    /// Sends a message to another member; a message to an unreachable member is lost.
    std::function<void(const member_id&, wire::payloadUnion)> send;
    /// The view changed: links should lead to exactly these members.
    std::function<void(const view&)> members_changed;
    /// This instance got another incarnation; the following hellos must carry it.
    std::function<void(const member& self)> self_changed;
    /// Raw objects of the table as in the store, for peers that pull them.
    std::function<std::vector<wire::table_object_data>()> table_objects;
    /// Raw objects that a peer sent; the table part checks them and calls set_table().
    std::function<void(std::uint64_t revision, std::vector<wire::table_object_data>)> offer_table;
    /// Asks for one probe of a target; the result goes to probed().
    std::function<void(const std::string& service, const std::string& target)> probe;
    /// True once the HTTP path has no request in flight. Empty: only the admissions count.
    std::function<bool()> idle;
    fleet_event_hook event;
    std::size_t key_capacity = 10'000;
    answer_store_options answers = {};
    /// Limit of the wait for the store in a planned stop.
    duration stop_limit = std::chrono::seconds(30);
};

/// Copy of the state of a fleet_node for operators.
struct fleet_node_dump
{
    member self;
    view current;
    bool joined = false;
    bool fresh = false;
    bool lease = false;
    bool stopping = false;
    std::uint64_t table_revision = 0;
    /// Members by text id with the time since their last heartbeat.
    std::map<std::string, duration> silent_for;
    admission_client_dump client;
    std::vector<service_owner_dump> owned;
};

/// One instance's part in the fleet: member, dispatcher, and owner or witness of services. Composes
/// the classes of this module and dispatches messages to them. Use one per process.
class fleet_node
{
public:
    explicit fleet_node(fleet_node_options options);
    ~fleet_node();
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;

    /// Starts heartbeats and reads the view. The instance joins once it has a table.
    void start();

    /// Functions for the HTTP path; they refer to this object.
    [[nodiscard]] admission_gateway gateway();

    /// Takes over a checked table revision; older revisions are ignored.
    void set_table(const table_snapshot& table);

    /// Handles a message from an authenticated peer. `peer` is what its hello said.
    void receive(const member& peer, const wire::payloadUnion& message);

    /// A link to `peer` came up: asks it for newer information.
    void linked(const member_id& peer);

    /// Result of a probe that options.probe asked for.
    void probed(const completion_report& report);

    /// Starts the planned stop; `done` is called when the process may exit.
    void begin_stop(std::function<void()> done);

    /// True while this instance is a member with current information: it may take new requests.
    [[nodiscard]] bool ready() const;

    /// True while this instance may grant as an owner.
    [[nodiscard]] bool lease() const;

    [[nodiscard]] const view& current() const { return views_.current(); }
    [[nodiscard]] const member& self() const { return views_.self(); }
    [[nodiscard]] std::uint64_t table_revision() const { return table_.revision; }
    [[nodiscard]] fleet_node_dump dump() const;

private:
    struct waiting_recovery
    {
        member_id from;
        std::uint64_t epoch = 0;
        std::string service;
    };

    void send(const member_id& to, wire::payloadUnion message);
    void deliver(const member& peer, const wire::payloadUnion& message);
    void tick();
    void send_heartbeats();
    void check_suspects();
    void check_silent_members();
    void check_freshness();
    void progress_stop();
    void view_adopted();
    void place_services(std::uint64_t previous_epoch);
    void own_service(const service_config& config, std::uint64_t previous_epoch);
    void disown(const std::string& service);
    [[nodiscard]] bool owned_since(const std::string& service, std::uint64_t epoch) const;
    [[nodiscard]] std::set<member_id> recently_removed(duration longest_work) const;
    [[nodiscard]] std::optional<time_point> adopted_at(std::uint64_t epoch) const;
    [[nodiscard]] bool stalled() const;

    void on_heartbeat(const member& peer, const wire::heartbeat_data& beat);
    void on_grant_request(const member& peer, const wire::grant_request_data& data);
    void on_witness_put(const member& peer, const wire::witness_put_data& put);
    void on_recover_request(const member_id& from, const wire::recover_request_data& request);
    void on_view_pull(const member& peer, const wire::view_pull_data& pull);
    void on_table_pull(const member& peer, const wire::table_pull_data& pull);
    void on_table_push(const wire::table_push_data& push);
    void reply_to_recovery(const member_id& to, const std::string& service);
    void pull_view(const member_id& from);
    [[nodiscard]] service_owner* owner_of(const std::string& service);

    fleet_node_options options_;
    view_manager views_;
    heartbeat_tracker tracker_;
    member_state state_;
    admission_client client_;
    table_snapshot table_;
    std::map<std::string, std::unique_ptr<service_owner>> owned_;
    std::vector<waiting_recovery> waiting_recoveries_;
    /// Epochs in the order of their adoption here.
    std::map<std::uint64_t, time_point> adopted_;
    std::uint64_t last_epoch_ = 0;
    std::uint64_t last_incarnation_ = 0;
    time_point last_tick_{};
    /// End of the last stall of this process.
    time_point resumed_at_{};
    bool was_fresh_ = false;
    std::string suspects_reported_;
    std::function<void()> stopped_;
    bool stopping_ = false;
    bool retiring_ = false;
    time_point stop_started_{};
    timer_id tick_timer_ = 0;
    /// Deferred deliveries hold a weak reference.
    std::shared_ptr<fleet_node*> alive_;
};

} // namespace catkintally::core
