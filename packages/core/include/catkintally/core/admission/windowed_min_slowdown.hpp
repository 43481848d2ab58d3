#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <limits>

namespace catkintally::core
{

/// Windowed minimum of the slowdown that the targets of a service report. Distinguishes a transient
/// slowdown of some targets, which is worth waiting out, from a slowdown of the whole service.
class windowed_min_slowdown
{
public:
    /// Adds a report of a target: its current service time divided by the usual service time.
    void add(double slowdown, time_point now);

    /// Lowest slowdown reported in the current and the previous window, at least 1. Returns 1 if
    /// there are too few reports.
    [[nodiscard]] double service_slowdown(time_point now) const;

private:
    struct window
    {
        double lowest = std::numeric_limits<double>::infinity();
        std::uint32_t reports = 0;
    };

    window current_;
    window previous_;
    time_point window_start_{};
};

} // namespace catkintally::core
