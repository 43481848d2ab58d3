#include <catkintally/core/admission/target_health.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Pause after the first failure. One failure in a few hundred is usual, so the pause is short
/// enough to lose little capacity.
constexpr duration first_pause = std::chrono::milliseconds(1500);

/// Longest pause; a target that is back is found again within this time.
constexpr duration longest_pause = std::chrono::seconds(6);

} // namespace

void target_health::failed(time_point now)
{
    // Requests that were in flight together fail together; they count once.
    if (is_ejected(now))
    {
        return;
    }
    constexpr std::uint32_t most_doublings = 4;
    const auto pause = first_pause * (1U << std::min(failures_, most_doublings));
    ++failures_;
    ejected_until_ = now + std::min(pause, longest_pause);
}

} // namespace catkintally::core
