#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <limits>

namespace catkintally::core
{

/// The lowest slowdown that any target of a service reported lately. Tells a target that is slow
/// for a moment, for which waiting is worthwhile, from a service that is slow as a whole.
class windowed_min_slowdown
{
public:
    /// Adds what a target reported: how long work takes, relative to its usual time.
    void add(double slowdown, time_point now);

    /// The lowest slowdown of the last one to two periods; 1 if that is lower, or if there are too
    /// few reports to tell.
    [[nodiscard]] double usual(time_point now) const;

private:
    struct sample
    {
        double lowest = std::numeric_limits<double>::infinity();
        std::uint32_t reports = 0;
    };

    sample current_;
    sample previous_;
    time_point period_begin_{};
};

} // namespace catkintally::core
