#pragma once

#include <catkintally/core/admission/service_admission.hpp>
#include <catkintally/core/fleet/fleet_event.hpp>
#include <catkintally/core/fleet/lease.hpp>
#include <catkintally/core/fleet/member_state.hpp>
#include <catkintally/core/fleet/recovery.hpp>
#include <catkintally/core/fleet/view.hpp>
#include <catkintally/core/fleet/witness_replica.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A grant is valid for this time from the moment at which the owner issues it.
inline constexpr duration grant_validity = std::chrono::milliseconds(200);

/// Time after which work of a silent member has ended, beyond the service's longest deadline: its
/// owner's lease may have been valid and the grant may have waited for its whole validity. A
/// repeated application may lengthen the validity by the time between two applications, 100 ms.
inline constexpr duration silent_work_margin =
    lease_time + grant_validity + std::chrono::milliseconds(100);

/// Hooks and inputs of a service_owner.
struct service_owner_options
{
    std::string service;
    timer_service* timers = nullptr;
    std::uint64_t seed = 0;
    std::function<member_id()> self;
    /// True while this instance may grant.
    std::function<bool()> lease;
    std::function<void(const member_id&, wire::payloadUnion)> send;
    std::function<void(const std::string& target)> probe;
    fleet_event_hook event;
    std::size_t key_capacity = 10'000;
    /// Newest epoch in which this instance held the complete record set in another role.
    std::uint64_t complete_epoch = 0;
};

/// State of a service_owner for the dump.
struct service_owner_dump
{
    std::string service;
    bool recovered = false;
    bool proven = false;
    bool complete = false;
    std::size_t records = 0;
    std::size_t waiting = 0;
    service_admission_dump admission;
};

/// One service while this instance owns it: grants places under the lease, keeps the idempotency
/// records and their copy at the witness, and rebuilds its state after an epoch change.
class service_owner
{
public:
    explicit service_owner(service_owner_options options);
    ~service_owner();
    service_owner(const service_owner&) = delete;
    service_owner& operator=(const service_owner&) = delete;

    /// Takes over a table revision.
    void apply(const service_config& config, const table_snapshot& table);

    /// Owns the service in `current`. `continuous` says that this instance owned it in every epoch
    /// since the last call, so that its state needs no recovery. `removed` and `expired` are inputs
    /// of the recovery.
    void adopt(
        const view& current,
        bool continuous,
        std::set<member_id> removed,
        std::function<bool(std::uint64_t epoch)> expired);

    /// Ends the ownership: requests without a grant are answered `moved`. Returns what a former
    /// owner has to remember, nullopt if it learned nothing because recovery had not finished.
    std::optional<service_copy> hand_over();

    void on_request(
        const member_id& from, const std::string& domain, const wire::grant_request_data& data);
    /// The dispatcher has not used a grant for this request and will not use one.
    void on_cancel(const member_id& from, request_id id);
    void on_completion(const wire::completion_data& data);
    void on_witness_ack(const member_id& from, const wire::witness_ack_data& ack);
    void on_recover_reply(const member_id& from, const wire::recover_reply_data& data);

    /// Cold targets receive nothing before `until`; earlier limits stay.
    void block_cold_until(time_point until);

    /// Result of a probe that the admission asked for.
    void probed(const completion_report& report) { admission_->complete(report); }

    /// Regular work: repeats, expiry. Called every heartbeat interval.
    void tick();

    [[nodiscard]] service_owner_dump dump() const;

private:
    /// A request between its arrival and its completion.
    struct active_request
    {
        member_id from;
        admission_request request;
        time_point received{};
        time_point deadline{};
        std::uint64_t epoch = 0;
        /// Granted target; the grant is sent once the record is at the witness.
        std::string target;
        bool submitted = false;
        bool sent = false;
        duration validity{};
    };

    void process(active_request& entry);
    /// Answers a keyed request from the records; true if it needs no place.
    bool answer_from_records(active_request& entry);
    void decided(const admission_decision& decision);
    void send_ready_grants();
    void send_grant(active_request& entry);
    void refuse(
        const active_request& entry,
        decision_code code,
        duration retry_after = {},
        const std::string& key_holder = {});
    void drop(request_id id);
    [[nodiscard]] bool is_warm(const std::string& target);
    void release_key(const active_request& entry);
    void recovered(const recovery_result& result);
    void restore(const recovery_result& result);
    void apply_completion(const wire::completion_data& data);
    void progressed();
    void set_proven();
    void mark_orphans();
    void flush_waiting();
    void start_replica();
    [[nodiscard]] std::uint64_t epoch() const { return current_.epoch; }

    service_owner_options options_;
    service_config config_;
    view current_;
    std::unique_ptr<service_admission> admission_;
    key_registry records_;
    witness_replica replica_;
    std::unique_ptr<recovery> recovery_;
    std::map<request_id, active_request> active_;
    /// Completions that arrived before recovery finished.
    std::vector<wire::completion_data> early_completions_;
    std::optional<member_id> witness_;
    bool ready_ = false;
    bool proven_ = false;
    time_point unproven_until_{};
    time_point cold_blocked_until_{};
    std::uint64_t complete_epoch_ = 0;
    /// Targets that are warm, read again after the phase of one changed.
    std::set<std::string> warm_targets_;
    bool warm_known_ = false;
    /// Timers hold a weak reference, because an owner may end before they fire.
    std::shared_ptr<service_owner*> alive_;
};

} // namespace catkintally::core
