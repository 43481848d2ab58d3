#include <catkintally/core/admission/windowed_min_slowdown.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Several times the length of a transient slowdown, of which there are several per second, but
/// short enough to recognise a slow service soon.
constexpr duration window_length = std::chrono::milliseconds(500);

/// Fewer reports may all come from targets with a transient slowdown. The probes for one request
/// that finds no free slot yield about this many within a fraction of a second.
constexpr std::uint32_t min_reports = 16;

} // namespace

void windowed_min_slowdown::add(double slowdown, time_point now)
{
    if (now - window_start_ >= window_length)
    {
        const bool adjacent = now - window_start_ < 2 * window_length;
        previous_ = adjacent ? current_ : window{};
        current_ = {};
        window_start_ = now;
    }
    current_.lowest = std::min(current_.lowest, slowdown);
    ++current_.reports;
}

double windowed_min_slowdown::service_slowdown(time_point now) const
{
    const duration age = now - window_start_;
    const window previous = age < window_length ? previous_ : window{};
    const bool enough_reports =
        age < 2 * window_length && current_.reports + previous.reports >= min_reports;
    return enough_reports ? std::max(std::min(current_.lowest, previous.lowest), 1.0) : 1;
}

} // namespace catkintally::core
