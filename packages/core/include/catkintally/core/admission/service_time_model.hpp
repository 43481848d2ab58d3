#pragma once

#include <catkintally/core/time/timer_service.hpp>

namespace catkintally::core
{

/// Service time that is assumed to be enough while a model has too few completions. A new owner
/// starts without a model; most work is around 10 ms, so ten times that covers its tail.
inline constexpr duration assumed_late_bound = std::chrono::milliseconds(100);

/// Moving estimate of how long requests of one service take from grant to completion. The times are
/// taken as log-normal, because the work of a service has a heavy tail: a fixed multiple of the
/// mean would either miss slow targets or suspect every long request.
class service_time_model
{
public:
    /// Learns one completed request.
    void add(duration elapsed);

    /// True once there are enough completions to judge by.
    [[nodiscard]] bool ready() const { return count_ >= min_count; }

    /// Logarithm of how much likelier a request takes `elapsed` on a target at a quarter of its
    /// speed than on a healthy one, for a finished request and for one that is still running. 0
    /// until ready.
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

    [[nodiscard]] double spread() const;
    /// Distance of the logarithm of the time from its mean, in spreads.
    [[nodiscard]] double deviation(duration elapsed) const;

    unsigned count_ = 0;
    double log_mean_ = 0;
    double log_variance_ = 0;
    double mean_ = 0;
};

} // namespace catkintally::core
