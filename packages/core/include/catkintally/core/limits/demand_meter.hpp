#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

/// Exponentially weighted rate of events.
class demand_meter
{
public:
    explicit demand_meter(duration constant = std::chrono::seconds(10))
        : constant_(constant)
    {
    }

    /// Assumes that events have come at this rate for a long time.
    void assume(double per_second, time_point now)
    {
        sum_ = per_second * constant_.count();
        started_at_ = now - std::chrono::ceil<duration>(constant_ * 10);
        updated_at_ = now;
    }

    /// Records one event.
    void record(time_point now)
    {
        if (started_at_ == time_point{})
        {
            started_at_ = now;
        }
        decay(now);
        sum_ += 1;
    }

    /// Events per second over the time constant or so, or since the first event.
    [[nodiscard]] double per_second(time_point now)
    {
        decay(now);
        const std::chrono::duration<double> running = now - started_at_;
        // A span shorter than this would make much of a few events.
        const std::chrono::duration<double> observed = std::max(running, min_span);
        return sum_ / (constant_.count() * (1 - std::exp(-observed / constant_)));
    }

private:
    static constexpr std::chrono::duration<double> min_span = std::chrono::seconds(2);

    void decay(time_point now)
    {
        const std::chrono::duration<double> passed = now - updated_at_;
        sum_ *= std::exp(-passed / constant_);
        updated_at_ = now;
    }

    /// Time constant of the weights.
    std::chrono::duration<double> constant_;
    double sum_ = 0;
    time_point started_at_{};
    time_point updated_at_{};
};

} // namespace catkintally::core
