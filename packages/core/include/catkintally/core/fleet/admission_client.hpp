#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/fleet/answer_store.hpp>
#include <catkintally/core/fleet/member_state.hpp>
#include <catkintally/core/fleet/view.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace catkintally::core
{

/// Time after which an application is repeated if its owner has not replied.
inline constexpr duration owner_reply_limit = std::chrono::milliseconds(100);

/// Time without an owner after which idempotent requests use the fixed share.
inline constexpr duration owner_missing_limit = std::chrono::milliseconds(300);

/// Hooks and inputs of an admission_client.
struct admission_client_options
{
    timer_service* timers = nullptr;
    member_state* state = nullptr;
    std::function<const view&()> current;
    std::function<member_id()> self;
    /// True while this instance is a member with current information.
    std::function<bool()> fresh;
    /// Time of the last heartbeat from a member; the present time for this instance.
    std::function<std::optional<time_point>(const member_id&)> last_heard;
    std::function<void(const member_id&, wire::payloadUnion)> send;
    /// A reply showed that `peer` is in a newer epoch.
    std::function<void(const member_id& peer)> behind;
    answer_store_options answers = {};
};

/// Counts of an admission_client for the dump.
struct admission_client_dump
{
    std::size_t asking = 0;
    std::size_t granted = 0;
    std::size_t dispatched = 0;
    std::size_t fixed_share = 0;
    std::size_t answer_bytes = 0;
};

/// The dispatching side of admission: asks the owner of a request's service for a place, guards the
/// use of the grant, reports the end, and falls back to a fixed share of slots without an owner.
class admission_client
{
public:
    using answer_hook = std::function<void(admission_answer)>;

    explicit admission_client(admission_client_options options);
    ~admission_client();
    admission_client(const admission_client&) = delete;
    admission_client& operator=(const admission_client&) = delete;

    /// The functions that the HTTP path uses.
    void ask(admission_request request, answer_hook done);
    void cancel(request_id id);
    [[nodiscard]] bool may_send(request_id id);
    void
    complete(const completion_report& report, const std::shared_ptr<const stored_answer>& answer);

    /// Takes over a table revision. The snapshot must stay valid until the next call.
    void set_table(const table_snapshot& table);

    /// The view changed: unused grants of earlier epochs become invalid, and waiting requests are
    /// sent to the present owners.
    void view_changed();

    void on_grant_reply(const member_id& from, const wire::grant_reply_data& reply);
    void on_answer_fetch(const member_id& from, const wire::answer_fetch_data& fetch);
    void on_answer_reply(const member_id& from, const wire::answer_reply_data& reply);

    /// Requests that were sent to a target of the service, for a recover_reply.
    void add_grants_in_flight(const std::string& service, wire::recover_reply_data& reply) const;

    /// True while no request waits, holds a grant or runs.
    [[nodiscard]] bool idle() const { return entries_.empty(); }

    [[nodiscard]] admission_client_dump dump() const;

private:
    enum class phase : std::uint8_t
    {
        asking,
        fetching,
        granted,
        dispatched
    };
    struct entry
    {
        admission_request request;
        answer_hook done;
        phase at = phase::asking;
        time_point deadline{};
        /// Owner that was asked last, and the first time that this owner was asked.
        std::optional<member_id> asked;
        time_point first_asked{};
        timer_id timer = 0;
        std::string target;
        std::uint64_t epoch = 0;
        time_point send_before{};
        /// The grant was taken from the fixed share.
        bool shared = false;
        /// The owner took the granted target for warm.
        bool target_warm = false;
    };
    struct service_entry
    {
        /// First refusal for lack of a lease since the last other reply.
        std::optional<time_point> no_lease_since;
        time_point no_lease_last{};
        /// Targets by name with the time until which they are believed warm.
        std::map<std::string, time_point> warm_until;
        std::map<std::string, std::uint32_t> shared_in_use;
    };

    void send_application(entry& asking);
    void schedule(entry& waiting, duration delay);
    void on_timer(request_id id);
    bool try_fixed_share(entry& asking);
    [[nodiscard]] duration without_owner(const std::string& service) const;
    void grant(entry& asking, const std::string& target, time_point send_before, bool shared);
    void fetch_answer(entry& asking, const std::string& holder);
    void refuse(request_id id, decision_code code, run_claim claim, duration retry_after = {});
    void give(request_id id, admission_answer answer);
    [[nodiscard]] run_claim claim_without_owner(const admission_request& request) const;
    [[nodiscard]] static run_claim claim_of(decision_code code, const admission_request& request);
    [[nodiscard]] const service_config* find_service(const std::string& name) const;
    [[nodiscard]] const target_row*
    find_target(const std::string& service, const std::string& name) const;
    void send_cancel(const member_id& owner, request_id id, const std::string& service);
    void end_unused(const entry& ended);
    void forget_own_record(const entry& unused);

    admission_client_options options_;
    const table_snapshot* table_ = nullptr;
    std::map<request_id, entry> entries_;
    std::map<std::string, service_entry> services_;
    answer_store answers_;
    time_point view_changed_at_{};
};

} // namespace catkintally::core
