#include <catkintally/core/admission/windowed_min_slowdown.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Several times as long as the moments of noise last, of which there are several in a second, and
/// short enough to serve a slow service soon.
constexpr duration period = std::chrono::milliseconds(500);

/// With fewer reports, all may come from targets that are slow for a moment. A request that finds
/// no slot asks for about as many within a fraction of a second.
constexpr std::uint32_t least_reports = 16;

} // namespace

void windowed_min_slowdown::add(double slowdown, time_point now)
{
    if (now - period_begin_ >= period)
    {
        const bool adjacent = now - period_begin_ < 2 * period;
        previous_ = adjacent ? current_ : sample{};
        current_ = {};
        period_begin_ = now;
    }
    current_.lowest = std::min(current_.lowest, slowdown);
    ++current_.reports;
}

double windowed_min_slowdown::usual(time_point now) const
{
    const duration age = now - period_begin_;
    const sample before = age < period ? previous_ : sample{};
    const bool enough = age < 2 * period && current_.reports + before.reports >= least_reports;
    return enough ? std::max(std::min(current_.lowest, before.lowest), 1.0) : 1;
}

} // namespace catkintally::core
