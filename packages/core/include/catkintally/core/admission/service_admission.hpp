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

/// The owner's admission policy for one service. Knows every place of the service in use and
/// answers each request with a target, later or at once, or with a refusal. Does no input or output
/// of its own; the same seed and order of events give the same decisions. `decide` may call
/// submit(), cancel() and complete(); the other hooks may only read.
class service_admission
{
public:
    explicit service_admission(service_admission_options options);
    ~service_admission();
    service_admission(const service_admission&) = delete;
    service_admission& operator=(const service_admission&) = delete;

    /// Takes over a new table revision. New and returned targets are cold.
    void apply(const service_config& config, const table_snapshot& table);

    /// Applies for a place. A repeated id that already has a place gets the same answer again.
    void submit(const admission_request& request);

    /// Removes a request from the queue, or returns its place without an effect on the target.
    void cancel(request_id id);

    /// Returns the place of a request and learns from its end. A grant that was not used is
    /// reported with cancel(). Id 0 is the result of a probe.
    void complete(const completion_report& report);

    /// Recovery: counts a place that an earlier owner granted.
    void restore_grant(request_id id, const std::string& target, duration deadline_left);

    /// Recovery: takes over a phase; after the first call, only a colder phase has an effect.
    void restore_phase(const std::string& target, target_phase phase, std::uint32_t limit);

    /// Recovery: cold targets receive nothing before `until`.
    void block_cold_until(time_point until);

    /// Empties the queue; the caller answers the returned requests.
    std::vector<admission_request> take_queue();

    /// Phases of all targets of the table, for the witness.
    [[nodiscard]] std::vector<wire::target_state_data> phases() const;

    /// Copy of the state for operators.
    [[nodiscard]] service_admission_dump dump() const;

private:
    void grant_place(const admission_request& request, target_admission& target);
    void refuse(const admission_request& request, decision_code code, duration retry_after);
    /// Requests that may wait ahead at a warm target now.
    [[nodiscard]] std::uint32_t ahead() const;
    target_admission* choose(const admission_request& request);
    [[nodiscard]] choice_input input_for(const admission_request& request) const;

    /// Brings everything that depends on time up to date and places what waits.
    void update();
    void expire_places();
    std::optional<target_admission::place> return_place(request_id id);
    void refuse_late();
    /// Time that a queued request must have left if its outcome may not stay unknown.
    [[nodiscard]] duration reserve_before_deadline() const;
    void refuse_unplaceable();
    void place_queued();
    void send_probes();
    void arm();

    /// Runs `change` on the target and reports a new phase or limit.
    template <class change_type>
    void observe(target_admission& target, change_type change);

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
