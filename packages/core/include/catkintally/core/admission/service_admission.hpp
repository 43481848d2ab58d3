#pragma once

#include <catkintally/core/admission/admission_queue.hpp>
#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/core/admission/service_admission_dump.hpp>
#include <catkintally/core/admission/service_admission_options.hpp>
#include <catkintally/core/admission/target_admission.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <map>
#include <memory>
#include <vector>

namespace catkintally::core
{

using wire::target_phase;

/// The owner's admission policy for one service. Knows every place of the service in use and
/// answers each request with a target, later or at once, or with a refusal. Does no input or output
/// of its own; the same seed and order of events give the same decisions.
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
    struct grant
    {
        std::string target;
        time_point expires{};
    };

    void place_queued();
    void grant_place(const admission_request& request, target_admission& target);
    void refuse(const admission_request& request, decision_code code, duration retry_after);
    target_admission* choose(const admission_request& request);
    target_admission* find(const std::string& name);

    service_admission_options options_;
    service_config config_;
    std::vector<std::unique_ptr<target_admission>> targets_;
    admission_queue queue_;
    std::map<request_id, grant> grants_;
    time_point cold_blocked_until_{};
    std::array<std::uint64_t, decision_code_count> decisions_{};
};

} // namespace catkintally::core
