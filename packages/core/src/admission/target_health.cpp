#include <catkintally/core/admission/target_health.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Ejection time after the first failure. Short enough to cost little capacity, since one failure
/// in a few hundred requests is normal.
constexpr duration base_ejection_time = std::chrono::milliseconds(1500);

/// Maximum ejection time; bounds the time until a recovered target is used again.
constexpr duration max_ejection_time = std::chrono::seconds(6);

} // namespace

void target_health::failed(time_point now)
{
    // Requests in flight at the same time fail together and count once.
    if (is_ejected(now))
    {
        return;
    }
    constexpr std::uint32_t max_doublings = 4;
    const auto ejection_time = base_ejection_time * (1U << std::min(failures_, max_doublings));
    ++failures_;
    ejected_until_ = now + std::min(ejection_time, max_ejection_time);
}

} // namespace catkintally::core
