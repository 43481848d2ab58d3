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

/// Places, phase and limit of one target: how many requests it may hold now, learned from how its
/// requests end and from how long those in flight have been running.
class target_admission
{
public:
    /// A place in use. The first `slots` places in order of grant are taken as running.
    struct place
    {
        request_id id = 0;
        time_point granted{};
        /// When the request is taken to have started to run.
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

    /// Takes over the row. A target that is not available, becomes available or has another address
    /// is cold.
    void update(const target_row& row, bool available, time_point now);

    /// Places that may be in use at `now`; `ahead` of them may wait at a warm target.
    [[nodiscard]] std::uint32_t limit(std::uint32_t ahead, time_point now) const;

    /// Places in use, with those of failed requests that are held for a typical service time: a
    /// target that fails fast would otherwise look free all the time and attract traffic.
    [[nodiscard]] std::uint32_t occupied(time_point now) const;

    /// True if the target may take a request at `now`, whatever its limit.
    [[nodiscard]] bool accepts(time_point now) const;

    /// Earliest time after `now` at which the limit or a held place changes by itself.
    [[nodiscard]] std::optional<time_point> next_change(time_point now) const;

    /// Counts a place.
    void add(request_id id, time_point now, bool suspect);

    /// Returns a place without learning from it.
    std::optional<place> remove(request_id id, time_point now);

    /// Learns from the end of a request whose place was returned. `may_eject` says whether the
    /// bound on ejected targets leaves room for this one. True if an ejection was prevented by it.
    bool record_completion(
        const place& ended,
        const completion_report& report,
        const service_time_model& model,
        time_point now,
        bool may_eject);

    /// Learns from a probe.
    void record_probe(const completion_report& report, time_point now);

    /// Logarithm of how much likelier the times of the running and of the last finished requests
    /// are on a target at a quarter of its speed than on a healthy one.
    [[nodiscard]] double
    slow_log_likelihood_ratio(const service_time_model& model, time_point now) const;

    /// Marks the target slow if its requests say so.
    void update_slow_phase(const service_time_model& model, time_point now);

    /// Recovery: takes over phase and limit; after the first call, only if they are colder.
    void restore(target_phase phase, std::uint32_t limit, time_point now);

    /// Time of the newest completion, report, grant or probe request.
    [[nodiscard]] time_point last_signal() const { return last_signal_; }

    /// Records that a probe was asked for.
    void probe_sent(time_point now) { last_signal_ = now; }

    /// True while the target says that it is draining.
    [[nodiscard]] bool reports_draining() const { return reports_draining_; }

private:
    void become_cold();
    void become_ejected(time_point now);
    void become_slow(time_point now);
    void succeeded(const place& ended, const service_time_model& model, time_point now);
    bool failed(
        const place& ended,
        bool lost,
        const service_time_model& model,
        time_point now,
        bool may_eject);
    [[nodiscard]] double decayed_evidence(const service_time_model& model, time_point now) const;
    void start_waiting(time_point now);
    void note_report(const completion_report& report, time_point now);

    target_row row_;
    bool available_ = false;
    target_phase phase_ = target_phase::cold;
    /// Limit while cold or slow.
    std::uint32_t limit_ = 1;
    /// Consecutive successes at this cold limit.
    std::uint32_t successes_ = 0;
    std::uint32_t failures_ = 0;
    std::vector<place> places_;
    /// Ends of the held places of failed requests.
    std::vector<time_point> held_;
    time_point slow_since_{};
    /// Evidence of finished requests for slowness, as of `evidence_at_`.
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
