#pragma once

#include <catkintally/core/admission/admission_queue.hpp>
#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/core/admission/grant_table.hpp>
#include <catkintally/core/admission/probe_planner.hpp>
#include <catkintally/core/admission/retry_budget.hpp>
#include <catkintally/core/admission/service_admission_dump.hpp>
#include <catkintally/core/admission/service_admission_options.hpp>
#include <catkintally/core/admission/service_time_model.hpp>
#include <catkintally/core/admission/target_set.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <optional>
#include <vector>

namespace catkintally::core
{

/// The owner's admission control for one service. Tracks all requests in flight of the service and
/// answers each request with a target, immediately or after queueing, or with a refusal. Performs
/// no I/O; the same seed and order of events give the same decisions. `decide` may call submit(),
/// cancel() and complete(); the other hooks may only read.
class service_admission
{
public:
    explicit service_admission(service_admission_options options);
    ~service_admission();
    service_admission(const service_admission&) = delete;
    service_admission& operator=(const service_admission&) = delete;

    /// Applies a new table revision. New and returning targets are cold.
    void apply(const service_config& config, const table_snapshot& table);

    /// Requests admission. A repeated id that is already in flight gets the same answer again,
    /// unless the request now excludes that target.
    void submit(const admission_request& request);

    /// Removes a request from the queue, or releases its place without an effect on the target's
    /// phase.
    void cancel(request_id id);

    /// Releases the place of a request and evaluates its outcome. An unused grant is reported with
    /// cancel() instead. Id 0 is the result of a probe.
    void complete(const completion_report& report);

    /// Recovery: restores a request in flight that an earlier owner granted.
    void restore_grant(request_id id, const std::string& target, duration deadline_left);

    /// Recovery: restores a phase; after the first call or completion, a warmer phase is ignored.
    void restore_phase(const std::string& target, target_phase phase, std::uint32_t limit);

    /// Recovery: cold and ejected targets receive no requests before `until`.
    void block_cold_until(time_point until);

    /// Empties the queue. The calling code must answer the returned requests.
    std::vector<admission_request> take_queue();

    /// Phases of all targets in the table, for the copy at the witness.
    [[nodiscard]] std::vector<wire::target_state_data> phases() const;

    /// Snapshot of the state for operators and metrics.
    [[nodiscard]] service_admission_dump dump() const;

private:
    void grant_place(const admission_request& request, target_admission& target);
    void refuse(const admission_request& request, decision_code code, duration retry_after);
    /// Requests that may currently be sent to a warm target beyond its slots.
    [[nodiscard]] std::uint32_t ahead() const;
    target_admission* choose(const admission_request& request);
    [[nodiscard]] choice_input input_for(const admission_request& request) const;

    /// Applies all time-dependent changes and grants queued requests.
    void update();
    void expire_places();
    std::optional<target_admission::place> return_place(request_id id);
    void refuse_late();
    /// Time before its deadline at which a non-idempotent request leaves the queue, so that its
    /// outcome does not become unknown.
    [[nodiscard]] duration reserve_before_deadline() const;
    void refuse_unplaceable();
    void place_queued();
    void send_probes();
    void schedule_update();

    /// Calls `change` with the target, and phase_changed if its phase or limit changed.
    template <class change_type>
    void change_target(target_admission& target, change_type change);

    service_admission_options options_;
    service_config config_;
    target_set targets_;
    target_choice choice_;
    admission_queue queue_;
    service_time_model times_;
    retry_budget retries_;
    crashing_request_detector crashes_;
    probe_planner probes_;
    grant_table grants_;
    time_point cold_blocked_until_{};
    timer_id timer_ = 0;
    time_point timer_due_{};
    std::array<std::uint64_t, decision_code_count> decisions_{};
    std::uint64_t ejections_ = 0;
    std::uint64_t ejections_prevented_ = 0;
    std::uint64_t places_expired_ = 0;
};

} // namespace catkintally::core
