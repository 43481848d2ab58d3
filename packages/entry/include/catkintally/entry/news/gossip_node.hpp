#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/fleet/member.hpp>
#include <catkintally/core/limits/demand_report.hpp>
#include <catkintally/core/limits/target_limit.hpp>
#include <catkintally/entry/news/peer_directory.hpp>
#include <catkintally/entry/peers/peer_network.hpp>
#include <catkintally/entry/table/object_mirror.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Configuration and callbacks of a gossip_node. Pointers must outlive it.
struct gossip_node_options
{
    runtime::event_loop* loop = nullptr;
    core::timer_service* timers = nullptr;
    core::member self;
    /// Address to listen on, usually the peer address of `self`.
    std::string listen_address;
    /// Shared key of all instances; an empty key turns authentication off.
    std::string key;
    /// Peer addresses of some instances; they may be out of date.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0;
    /// Applies an update received from another instance.
    std::function<update_result(const object_update&)> offer;
    /// Snapshot of all objects known under a prefix; nothing while they are not known.
    std::function<std::optional<object_update>(const std::string& prefix)> whole;
    /// Version and digest of the known objects, by prefix.
    std::function<std::map<std::string, object_state>()> states;
    /// Status of an instance that reads the store, and its age. Not called while updates known to
    /// that reader are missing here.
    std::function<void(const std::string& reader, wire::reader_state state, core::duration age)>
        on_reader_state;
    /// Another instance observed a crash. Returns true if it was unknown here; it is then
    /// forwarded.
    std::function<bool(const core::target_crash&)> on_target_crash;
    /// Crashes to report to a newly linked instance.
    std::function<std::vector<core::target_crash>()> suspected_crashes;
    /// Another instance received an answer to a suspected request. Returns true if that was unknown
    /// here; it is then forwarded.
    std::function<bool(std::uint64_t fingerprint)> on_suspicion_cleared;
    /// Another instance knows a request that crashes targets. May be empty, as the hooks below.
    std::function<core::crash_record_news(const core::crash_record&)> on_crash_record{};
    /// Requests that crash targets, to report to a newly linked instance.
    std::function<std::vector<core::crash_record>()> crash_records{};
    /// Another instance read a target's rate limit. Returns true if it was unknown here; it is then
    /// forwarded.
    std::function<bool(const core::target_limit&)> on_target_limit{};
    /// Rate limits to send to a newly linked instance.
    std::function<std::vector<core::target_limit>()> target_limits{};
    /// Another instance sent demand reports.
    std::function<void(const std::vector<core::demand_report>&)> on_demand{};
    /// Demand reports to send to a newly linked instance.
    std::function<std::vector<core::demand_report>()> demand_reports{};
    /// A neighbour sent a message that is not handled here.
    std::function<void(const core::member& from, const wire::payloadUnion&)> on_other{};
    /// An instance was linked. Called before it is sent the versions of the known objects.
    std::function<void(const core::member_id& peer)> on_linked{};
};

/// Gossips store updates between instances. Each instance has links to a few randomly chosen
/// neighbours and immediately forwards whatever is new to it to all of them. Updates reach every
/// instance in a few hops, at a cost per instance that does not grow with the fleet size. An
/// instance that has missed an update pulls it from the neighbour whose message revealed the gap.
class gossip_node
{
public:
    explicit gossip_node(gossip_node_options options);
    ~gossip_node();
    gossip_node(const gossip_node&) = delete;
    gossip_node& operator=(const gossip_node&) = delete;

    /// Starts listening and dialing. False if the listen address is not available.
    [[nodiscard]] bool start();

    /// Sends changes that this instance has read from the store to all neighbours. Of a whole
    /// update only the version and digest are sent; neighbours that lack it pull it.
    void broadcast_update(const object_update& update);

    /// Reports to all neighbours that a target crashed while it ran a request.
    void broadcast_crash(const core::target_crash& crash);

    /// Reports to all neighbours that a suspected request was answered.
    void broadcast_suspicion_cleared(std::uint64_t fingerprint);

    /// Reports a request that crashes targets to all neighbours.
    void broadcast_crash_record(const core::crash_record& record);

    /// Reports a target's rate limit to all neighbours.
    void broadcast_limit(const core::target_limit& limit);

    /// Sends demand reports, own and forwarded ones, to all neighbours.
    void broadcast_demand(const std::vector<core::demand_report>& reports);

    /// Reports the state of this instance's store calls to all neighbours.
    void broadcast_reader_state(wire::reader_state state);

    /// Estimated number of live instances, this one included.
    [[nodiscard]] std::size_t instances() const;

    /// True while a neighbour may still answer a pull: for two pull time-outs after it was sent.
    [[nodiscard]] bool awaits_update() const;

    /// Estimated number of live instances in the own and in other failure domains. Until there is
    /// an estimate, the largest planned fleet is assumed.
    [[nodiscard]] core::fleet_size fleet() const;

    /// Sends a message to one neighbour, or to all.
    void send(const core::member_id& peer, const wire::payloadUnion& message)
    {
        network_.send(peer, message);
    }
    void broadcast(const wire::payloadUnion& message) { network_.send_to_all(message, {}); }

    /// Instances with a link that is up.
    [[nodiscard]] std::vector<core::member_id> neighbours() const
    {
        return network_.linked_members();
    }

    [[nodiscard]] const peer_counters& counters() const { return network_.counters(); }

private:
    /// Status of a reader (reader_word on the wire), and when it arrived.
    struct received_reader_status
    {
        wire::reader_word_data message;
        core::time_point received_at{};
    };
    /// Answer to pulls of one prefix, encoded once and reused until the objects change.
    struct encoded_snapshot
    {
        object_state state;
        std::string frame;
    };

    void on_linked(const core::member_id& peer);
    void receive(const core::member& from, const wire::payloadUnion& message);
    void handle_update(const core::member& from, const wire::news_update_data& message);
    void handle_pull(const core::member& from, const wire::news_pull_data& message);
    void handle_reader_status(const core::member& from, const wire::reader_word_data& message);
    /// Reports and forwards a reader status, unless the same or a newer one of that reader was
    /// accepted before.
    void accept_reader_status(const core::member_id& from, const received_reader_status& received);
    /// Accepts the pending reader statuses whose updates have arrived in the meantime.
    void accept_pending_reader_statuses(const core::member_id& from);
    /// True if the own objects under the prefix of `known` are the same as in `known`, or newer.
    [[nodiscard]] static bool is_up_to_date(
        const std::map<std::string, object_state>& own, const wire::news_state_data& known);
    void handle_peer_sample(const wire::peer_sample_data& message);
    void handle_size_estimate(const core::member& from, const wire::census_data& message);
    void exchange_size_estimates();
    [[nodiscard]] wire::payloadUnion size_estimate_message() const;
    /// Pulls the prefixes for which `from` knows newer objects. True if there are none.
    bool pull_missing(
        const core::member_id& from,
        const std::vector<std::unique_ptr<wire::news_state_data>>& known);
    void pull(const core::member_id& from, const std::string& prefix);
    void handle_crash_notice(const core::member& from, const wire::crash_notice_data& message);
    void handle_crash_record(const core::member& from, const wire::crash_record_data& message);
    void send_crashes(const core::member_id& peer);
    void handle_limit_notice(const core::member& from, const wire::limit_notice_data& message);
    void handle_demand_notice(const wire::demand_notice_data& message);
    void send_limits(const core::member_id& peer);
    [[nodiscard]] wire::payloadUnion crash_notice_message(const core::target_crash& crash) const;
    [[nodiscard]] wire::reader_word_data make_reader_status(wire::reader_state state);
    [[nodiscard]] wire::payloadUnion known_state_message();
    void exchange_peers();
    /// Dials the instances in `neighbours_`, and no others.
    void dial_neighbours();
    /// Dials others when no neighbour has sent anything for a while: all of them may have lost
    /// power, which their links do not show.
    void check_silence();
    void dial_others();

    gossip_node_options options_;
    peer_directory peers_;
    peer_network network_;
    std::uint64_t sequence_ = 0;
    /// Newest forwarded status of each reader, this instance included.
    std::map<std::string, received_reader_status> reader_statuses_;
    /// Newest statuses of readers that know updates which this instance lacks.
    std::map<std::string, received_reader_status> pending_reader_statuses_;
    std::map<std::string, encoded_snapshot> snapshots_;
    /// Time of the last pull, by prefix; removed by an update that carries the whole prefix.
    std::map<std::string, core::time_point> last_pulls_;
    std::vector<std::string> neighbours_;
    core::fleet_size_estimator size_estimator_;
    /// Neighbours may lack part of the current size estimate; it is broadcast at the next interval.
    bool size_estimate_changed_ = true;
    core::time_point last_received_;
    /// Times that further instances were dialed since then.
    std::size_t silence_dials_ = 0;
    core::timer_id exchange_timer_ = 0;
    core::timer_id silence_timer_ = 0;
    core::timer_id size_estimate_timer_ = 0;
};

} // namespace catkintally::entry
