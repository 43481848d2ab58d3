#pragma once

#include <catkintally/core/time/timer_service.hpp>

namespace catkintally::core
{

/// Late bound used while a model has too few completions. A new owner starts without a model; most
/// requests take about 10 ms, and ten times that covers the tail.
inline constexpr duration assumed_late_bound = std::chrono::milliseconds(100);

/// Moving estimate of the service time of one service, from the start of a request at its target to
/// its completion. Models a log-normal distribution, because service times have a heavy tail: a
/// fixed multiple of the mean would either miss slow targets or flag every long request.
class service_time_model
{
public:
    /// Adds the service time of one completed request.
    void add(duration elapsed);

    /// True once there are enough completions for an estimate.
    [[nodiscard]] bool ready() const { return count_ >= min_count; }

    /// Log-likelihood ratio of `elapsed` on a target at a quarter of its speed against a healthy
    /// one, for a finished request and for one that is still running. Bounded; a running request
    /// past the late bound adds a term that grows slowly. 0 until ready.
    [[nodiscard]] double finished_log_likelihood_ratio(duration elapsed) const;
    [[nodiscard]] double running_log_likelihood_ratio(duration elapsed) const;

    /// Median time; zero until ready.
    [[nodiscard]] duration median() const;

    /// Mean time; zero until ready.
    [[nodiscard]] duration mean() const;

    /// Time that about 1 request in 100 exceeds; the largest duration until ready.
    [[nodiscard]] duration late_bound() const;

private:
    static constexpr unsigned min_count = 16;

    [[nodiscard]] double log_deviation() const;
    /// Standard score of the logarithm of the time.
    [[nodiscard]] double standard_score(duration elapsed) const;

    unsigned count_ = 0;
    double log_mean_ = 0;
    double log_variance_ = 0;
    double mean_ = 0;
};

} // namespace catkintally::core
