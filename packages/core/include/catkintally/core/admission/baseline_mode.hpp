#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace catkintally::core
{

/// How an instance selects a target from its local state only.
enum class baseline_mode : std::uint8_t
{
    /// Each target in turn.
    round_robin,
    /// The less loaded of two random targets, by requests of this instance in flight.
    two_choices,
    /// The least loaded target, by requests of this instance in flight.
    least_in_flight
};

/// Names for settings and reports.
inline constexpr std::array<std::pair<baseline_mode, std::string_view>, 3> baseline_mode_names = {{
    {baseline_mode::round_robin, "round_robin"},
    {baseline_mode::two_choices, "two_choices"},
    {baseline_mode::least_in_flight, "least_in_flight"},
}};

[[nodiscard]] constexpr std::string_view name_of(baseline_mode mode)
{
    return baseline_mode_names[static_cast<std::size_t>(mode)].second;
}

/// Returns the mode with this name; empty if unknown.
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
