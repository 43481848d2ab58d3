#pragma once

#include <catkintally/core/limits/demand_meter.hpp>
#include <catkintally/core/limits/report_policy.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <optional>

namespace catkintally::core
{

/// Demand of this instance for one service: what is measured, what the other instances have been
/// told, and what this instance may count on.
class own_demand
{
public:
    explicit own_demand(const report_policy& policy = {})
        : policy_(policy)
        , meter_(policy.averaging_time)
    {
    }

    /// Continues from a report of an earlier run of this instance, which the others still count on.
    /// Without effect if a report was sent already.
    void resume(double per_second, time_point now);

    /// Requests per second as measured.
    [[nodiscard]] double measured(time_point now) { return meter_.per_second(now); }

    /// Records a request of a caller.
    void record(time_point now) { meter_.record(now); }

    /// True if a report must be sent: the first one, a renewal, or a changed demand.
    [[nodiscard]] bool is_report_due(time_point now);

    /// True if a report was sent and its renewal is due within half of the interval.
    [[nodiscard]] bool is_renewal_near(time_point now) const;

    /// Returns the demand to report now, in requests per second.
    double report(time_point now);

    /// Forgets that a report was sent. The next one is a first one.
    void stop_reporting() { reported_.reset(); }

    /// Demand that all instances agree on. It decreases at once, and increases some time after the
    /// report, when the other instances know it. Nullopt until the first report is known.
    [[nodiscard]] std::optional<double> settled(time_point now);

private:
    [[nodiscard]] bool differs(double demand, double reported) const;

    report_policy policy_;
    demand_meter meter_;
    bool resumed_ = false;
    /// Last reported demand.
    std::optional<double> reported_;
    time_point reported_at_{};
    time_point first_reported_at_{};
    double settled_ = 0;
    /// Demand that replaces `settled_` at `settles_at_`.
    double next_settled_ = 0;
    time_point settles_at_{};
};

} // namespace catkintally::core
