#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace catkintally::core
{

/// How an instance that decides alone picks a target.
enum class baseline_mode : std::uint8_t
{
    /// The targets in turn.
    round_robin,
    /// The less loaded of two random targets, by own counts.
    two_choices,
    /// The least loaded target, by own counts.
    least_in_flight
};

/// Names for settings and reports.
inline constexpr std::array<std::pair<baseline_mode, std::string_view>, 3> baseline_mode_names = {{
    {baseline_mode::round_robin, "round_robin"},
    {baseline_mode::two_choices, "two_choices"},
    {baseline_mode::least_in_flight, "least_in_flight"},
}};

/// Name of a mode.
[[nodiscard]] constexpr std::string_view name_of(baseline_mode mode)
{
    return baseline_mode_names[static_cast<std::size_t>(mode)].second;
}

/// Mode with this name, or empty.
[[nodiscard]] constexpr std::optional<baseline_mode> baseline_mode_from(std::string_view name)
{
    for (const auto& [mode, mode_name] : baseline_mode_names)
    {
        if (mode_name == name)
        {
            return mode;
        }
    }
    return std::nullopt;
}

} // namespace catkintally::core
