#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>
#include <cstdint>

namespace catkintally::core
{

/// Bounds the probes of one service to a number a second.
class probe_budget
{
public:
    /// Age of the newest signal from a target at which a probe is due.
    static constexpr duration quiet_time = std::chrono::seconds(2);

    /// Changes the rate; 0 forbids probes.
    void set_rate(std::uint32_t per_second)
    {
        interval_ =
            per_second == 0 ? duration::zero() : duration(std::chrono::seconds(1)) / per_second;
    }

    [[nodiscard]] bool allowed() const { return interval_ > duration::zero(); }

    /// Earliest time of the next probe. Probes are spaced evenly, so that no second holds more than
    /// the rate.
    [[nodiscard]] time_point next() const { return next_; }

    /// Takes the allowance for one probe; false if there is none yet.
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
