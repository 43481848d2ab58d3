#pragma once

#include <catkintally/core/time/timer_service.hpp>

namespace catkintally::stand_ins
{

/// Token bucket that holds up to one second of calls.
class rate_limit
{
public:
    /// Starts full.
    rate_limit(double per_second, core::time_point now)
        : per_second_(per_second)
        , tokens_(per_second)
        , updated_(now)
    {
    }

    /// Takes one call; false if the rate is exceeded.
    bool take(core::time_point now);

    /// Takes one call that cannot be refused, for example a second of a waiting watch.
    void charge(core::time_point now);

    /// Changes the rate and refills the bucket.
    void set_rate(double per_second, core::time_point now);

    /// Calls a second.
    [[nodiscard]] double rate() const { return per_second_; }

private:
    void refill(core::time_point now);

    double per_second_;
    double tokens_;
    core::time_point updated_;
};

} // namespace catkintally::stand_ins
