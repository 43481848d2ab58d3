#include <catkintally/core/admission/probe_statistics.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

namespace
{

/// Usable slots up to this relative time count as fast. The gateway takes them without waiting for
/// the reports of other targets.
constexpr double fast_relative_time = 1.2;

/// Relative time of slow slots before any was seen: a nearly full target.
constexpr double default_slow_time = 1.5;

/// Where probes are frequent, about this many are remembered, so that a change shows before the
/// memory has passed.
constexpr double max_count = 40;

/// Below this decayed number of probes a mean says nothing.
constexpr double min_count = 1e-6;

} // namespace

double probe_statistics::decay(time_point now) const
{
    const std::chrono::duration<double> age = now - updated_;
    return std::exp(-age / std::chrono::duration<double>(memory_));
}

void probe_statistics::add(const probe_outcome& outcome, time_point now)
{
    const double kept = std::min(decay(now), max_count / std::max(count_, 1.0));
    for (double* sum : {&count_, &usable_, &fast_, &slow_time_sum_, &round_trip_sum_ms_})
    {
        *sum *= kept;
    }
    updated_ = now;
    count_ += 1;
    round_trip_sum_ms_ += std::chrono::duration<double, std::milli>(outcome.round_trip).count();
    if (!outcome.usable)
    {
        return;
    }
    usable_ += 1;
    if (outcome.relative_time <= fast_relative_time)
    {
        fast_ += 1;
    }
    else
    {
        slow_time_sum_ += outcome.relative_time;
    }
}

double probe_statistics::count(time_point now) const
{
    return count_ * decay(now);
}

double probe_statistics::usable(const probe_prior& prior, time_point now) const
{
    const double kept = decay(now);
    return (usable_ * kept + prior.usable * prior.weight) / (count_ * kept + prior.weight);
}

double probe_statistics::fast(const probe_prior& prior, time_point now) const
{
    const double kept = decay(now);
    return (fast_ * kept + prior.usable * prior.weight) / (count_ * kept + prior.weight);
}

double probe_statistics::slow_time() const
{
    const double slow = usable_ - fast_;
    return slow > min_count ? slow_time_sum_ / slow : default_slow_time;
}

double probe_statistics::round_trip_ms(double unknown) const
{
    return count_ > min_count ? round_trip_sum_ms_ / count_ : unknown;
}

} // namespace catkintally::core
