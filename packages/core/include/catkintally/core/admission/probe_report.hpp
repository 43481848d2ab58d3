#pragma once

#include <catkintally/core/admission/completion_report.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace catkintally::core
{

/// Result of one health check of a target.
struct probe_report
{
    /// A complete HTTP response arrived.
    bool answered = false;
    /// HTTP status of the response.
    std::uint16_t status = 0;
    /// The target reports that it accepts requests.
    bool healthy = false;
    /// Name that the target reports for itself; empty if it reports none.
    std::string name;
    std::optional<load_report> load;
    /// Remaining warm-up time; zero if the target is not cold.
    duration warmup_remaining{};
    /// What the response says about the target's rate limit; nullopt if it cannot say anything.
    std::optional<limit_statement> limit{};
    /// The target says that it leaves.
    bool leaving = false;
    /// The target wants nothing from this instance for so long.
    std::optional<duration> pause{};
    /// Time from the start of the check to its end.
    duration took{};
};

} // namespace catkintally::core
