#include <catkintally/core/limits/own_demand.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

bool own_demand::differs(double demand, double reported) const
{
    const double tolerance =
        policy_.tolerance + policy_.noise * std::sqrt(std::max(demand, reported));
    return demand > policy_.factor * reported + tolerance ||
           reported > policy_.factor * demand + tolerance;
}

void own_demand::resume(double per_second, time_point now)
{
    if (reported_)
    {
        return;
    }
    meter_.assume(per_second, now);
    resumed_ = true;
    settled_ = per_second;
    next_settled_ = per_second;
}

bool own_demand::is_report_due(time_point now)
{
    if (!reported_)
    {
        return true;
    }
    const duration passed = now - reported_at_;
    return passed >= policy_.renewal_interval ||
           (passed >= policy_.min_interval && differs(meter_.per_second(now), *reported_));
}

bool own_demand::is_renewal_near(time_point now) const
{
    return reported_ && now - reported_at_ >= policy_.renewal_interval / 2;
}

double own_demand::report(time_point now)
{
    const double measured = meter_.per_second(now);
    if (!reported_)
    {
        first_reported_at_ = now;
    }
    // A renewed report repeats the last one: random changes of the demand would only move the
    // shares about.
    if (!reported_ || differs(measured, *reported_))
    {
        settled_ = std::min(settled(now).value_or(0), measured);
        next_settled_ = measured;
        settles_at_ = now + policy_.settle_time;
        reported_ = measured;
    }
    reported_at_ = now;
    return *reported_;
}

std::optional<double> own_demand::settled(time_point now)
{
    if (!resumed_ && (!reported_ || now - first_reported_at_ < policy_.settle_time))
    {
        return std::nullopt;
    }
    if (now >= settles_at_)
    {
        settled_ = next_settled_;
    }
    return settled_;
}

} // namespace catkintally::core
