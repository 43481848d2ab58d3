#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cmath>

namespace catkintally::core
{

/// Sum of values whose weights decrease exponentially with their age.
class decaying_sum
{
public:
    /// Values lose 63 % of their weight in `time_constant`.
    explicit decaying_sum(duration time_constant)
        : time_constant_(time_constant)
    {
    }

    void add(double value, time_point now)
    {
        sum_ = at(now) + value;
        updated_at_ = now;
    }

    [[nodiscard]] double at(time_point now) const
    {
        if (sum_ == 0)
        {
            return 0;
        }
        const std::chrono::duration<double> passed = now - updated_at_;
        return sum_ * std::exp(-passed / time_constant_);
    }

private:
    std::chrono::duration<double> time_constant_;
    double sum_ = 0;
    time_point updated_at_{};
};

} // namespace catkintally::core
