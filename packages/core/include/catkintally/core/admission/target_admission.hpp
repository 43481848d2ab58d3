#pragma once

#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/core/admission/service_time_model.hpp>
#include <catkintally/core/table/target_row.hpp>

#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

using wire::target_phase;

/// Adaptive concurrency limit of one target: tracks its requests in flight, its phase and the
/// number of requests it may hold, derived from the outcomes of finished requests and the elapsed
/// times of those in flight.
class target_admission
{
public:
    /// One request in flight. The oldest `slots` of them are assumed to be running, the others to
    /// wait at the target.
    struct place
    {
        request_id id = 0;
        time_point granted{};
        /// Assumed start of execution.
        time_point started{};
        bool running = false;
        /// The request was in flight at an earlier crash.
        bool suspect = false;
    };

    explicit target_admission(target_row row)
        : row_(std::move(row))
    {
    }

    [[nodiscard]] const target_row& row() const { return row_; }
    [[nodiscard]] target_phase phase() const { return phase_; }
    [[nodiscard]] std::uint32_t phase_limit() const { return limit_; }
    [[nodiscard]] bool available() const { return available_; }
    [[nodiscard]] const std::vector<place>& in_flight_requests() const { return places_; }
    [[nodiscard]] std::uint32_t failures() const { return failures_; }

    /// Applies a table row. The target becomes cold if it is unavailable, becomes available or has
    /// a new address.
    void update(const target_row& row, bool available, time_point now);

    /// Concurrency limit at `now`; a warm target may hold `ahead` requests beyond its slots.
    [[nodiscard]] std::uint32_t limit(std::uint32_t ahead, time_point now) const;

    /// Requests that count against the limit: those in flight, and failed ones whose place is held
    /// for a median service time or longer. Without the hold, a target that fails fast would always
    /// look idle and attract traffic.
    [[nodiscard]] std::uint32_t occupied(time_point now) const;

    /// True if the target may receive a request at `now`, regardless of its limit.
    [[nodiscard]] bool accepts(time_point now) const;

    /// Earliest time after `now` at which the limit or the number of held places changes without an
    /// event.
    [[nodiscard]] std::optional<time_point> next_change(time_point now) const;

    /// Adds a request in flight.
    void add(request_id id, time_point now, bool suspect);

    /// Removes a request in flight without evaluating its outcome; empty if the id is unknown.
    std::optional<place> remove(request_id id, time_point now);

    /// Evaluates the outcome of a request after its removal. `may_eject` is false if the bound on
    /// ejected targets is reached. Returns true if that bound prevented an ejection.
    bool record_completion(
        const place& ended,
        const completion_report& report,
        const service_time_model& model,
        time_point now,
        bool may_eject);

    /// Evaluates the result of a probe.
    void record_probe(const completion_report& report, time_point now);

    /// Log-likelihood ratio of the times of the running and recently finished requests: a target at
    /// a quarter of its speed against a healthy one.
    [[nodiscard]] double
    slow_log_likelihood_ratio(const service_time_model& model, time_point now) const;

    /// Moves a warm target to the slow phase if slow_log_likelihood_ratio() exceeds its threshold.
    void update_slow_phase(const service_time_model& model, time_point now);

    /// Recovery: restores phase and limit; after the first call or completion, only if the phase is
    /// not warmer than the current one.
    void restore(target_phase phase, std::uint32_t limit, time_point now);

    /// Time of the latest completion, grant, probe or probe result.
    [[nodiscard]] time_point last_signal() const { return last_signal_; }

    /// Records that a probe was requested.
    void probe_sent(time_point now) { last_signal_ = now; }

    /// True while the target reports that it is draining.
    [[nodiscard]] bool reports_draining() const { return reports_draining_; }

private:
    void become_cold();
    void become_ejected(time_point now);
    void become_slow(time_point now);
    void on_success(const place& ended, const service_time_model& model, time_point now);
    bool failed(
        const place& ended,
        bool lost,
        const service_time_model& model,
        time_point now,
        bool may_eject);
    [[nodiscard]] double decayed_evidence(const service_time_model& model, time_point now) const;
    void start_queued_requests(time_point now);
    void apply_load_report(const completion_report& report, time_point now);

    target_row row_;
    bool available_ = false;
    target_phase phase_ = target_phase::cold;
    /// Limit while cold or slow.
    std::uint32_t limit_ = 1;
    /// Consecutive successes at the current cold limit.
    std::uint32_t successes_ = 0;
    std::uint32_t failures_ = 0;
    std::vector<place> places_;
    /// Times at which the held places of failed requests are released.
    std::vector<time_point> held_;
    time_point slow_since_{};
    /// Log-likelihood ratio from finished requests, as of `evidence_at_`.
    double evidence_ = 0;
    time_point evidence_at_{};
    time_point ejected_at_{};
    time_point trial_at_{};
    duration back_off_{};
    time_point shedding_until_{};
    bool reports_draining_ = false;
    bool reported_cold_ = false;
    time_point drain_check_at_{};
    time_point last_signal_{};
    bool restored_ = false;
};

} // namespace catkintally::core
