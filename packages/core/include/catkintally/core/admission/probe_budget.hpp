#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>
#include <cstdint>

namespace catkintally::core
{

/// Rate limiter for the probes of one service.
class probe_budget
{
public:
    /// A probe is due when the last signal of a target is this old.
    static constexpr duration quiet_time = std::chrono::seconds(2);

    /// Sets the rate; 0 disables probes.
    void set_rate(std::uint32_t per_second)
    {
        interval_ =
            per_second == 0 ? duration::zero() : duration(std::chrono::seconds(1)) / per_second;
    }

    [[nodiscard]] bool allowed() const { return interval_ > duration::zero(); }

    /// Earliest time of the next probe. Probes are spaced evenly, so that no interval of one second
    /// exceeds the rate.
    [[nodiscard]] time_point next() const { return next_; }

    /// Consumes the budget of one probe; false if none is available yet.
    bool take(time_point now)
    {
        if (!allowed() || now < next_)
        {
            return false;
        }
        next_ = now + interval_;
        return true;
    }

private:
    duration interval_{};
    time_point next_{};
};

} // namespace catkintally::core
