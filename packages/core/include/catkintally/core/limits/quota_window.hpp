#pragma once

#include <catkintally/core/table/organisation_row.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>

namespace catkintally::core
{

/// How the quotas of organisations are checked: in any window, all instances together send at most
/// (rate x length + burst) x (1 + overshoot) + tolerance requests of an organisation.
struct quota_window
{
    /// Zero: they are not checked.
    duration length{};
    /// Allowed excess as a fraction.
    double overshoot = 0;
    /// Requests allowed in addition to that.
    double tolerance = 0;

    [[nodiscard]] double bound(const organisation_row& row) const
    {
        const double seconds = std::chrono::duration<double>(length).count();
        return (row.requests_per_s * seconds + row.burst) * (1 + overshoot) + tolerance;
    }

    /// Requests that all instances together may have saved up. What the rate leaves of the bound is
    /// rate x length x overshoot + burst x (1 + overshoot) + tolerance. The first part, and
    /// two fifths of the others, are kept for late news, for callers that move, and for a surge in
    /// two parts of the fleet that do not hear each other. With 0.82 and 0.75 instead of the
    /// constants below, a surge while a domain was cut off reached 1.0001 of the bound.
    [[nodiscard]] double saved(const organisation_row& row) const
    {
        constexpr double burst_part = 0.6;
        constexpr double tolerance_part = 0.65;
        const double sum = burst_part * row.burst * (1 + overshoot) + tolerance_part * tolerance;
        return std::max(sum, 1.0);
    }
};

} // namespace catkintally::core
