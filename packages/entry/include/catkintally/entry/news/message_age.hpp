#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>
#include <cstdint>

namespace catkintally::entry
{

/// Age as messages carry it.
[[nodiscard]] inline std::uint32_t to_milliseconds(core::duration age)
{
    using std::chrono::milliseconds;
    const auto whole = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::max<milliseconds::rep>(whole, 0));
}

} // namespace catkintally::entry
