#include <catkintally/core/limits/demand_directory.hpp>
#include <catkintally/core/limits/own_demand.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// A changed demand is reported at most once in this time.
constexpr duration min_report_interval = std::chrono::seconds(1);

/// Time after which all instances know a report, unless news are very late.
constexpr duration settle_time = std::chrono::seconds(4);

/// True if a demand differs so much from the reported one that it is reported anew. Small demands
/// fluctuate by more than the factor, hence the tolerance.
bool differs(double demand, double reported)
{
    constexpr double factor = 2;
    constexpr double tolerance = 0.25;
    return demand > factor * reported + tolerance || reported > factor * demand + tolerance;
}

} // namespace

bool own_demand::is_report_due(time_point now)
{
    if (!reported_)
    {
        return true;
    }
    const duration passed = now - reported_at_;
    return passed >= demand_directory::renewal_interval ||
           (passed >= min_report_interval && differs(meter_.per_second(now), *reported_));
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
        settles_at_ = now + settle_time;
        reported_ = measured;
    }
    reported_at_ = now;
    return *reported_;
}

std::optional<double> own_demand::settled(time_point now)
{
    if (!reported_ || now - first_reported_at_ < settle_time)
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
