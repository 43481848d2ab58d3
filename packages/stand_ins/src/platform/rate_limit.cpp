#include <catkintally/stand_ins/platform/rate_limit.hpp>

#include <algorithm>

namespace catkintally::stand_ins
{

bool rate_limit::take(core::time_point now)
{
    refill(now);
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void rate_limit::charge(core::time_point now)
{
    refill(now);
    tokens_ = std::max(tokens_ - 1, -per_second_);
}

void rate_limit::set_rate(double per_second, core::time_point now)
{
    per_second_ = per_second;
    tokens_ = per_second;
    updated_ = now;
}

void rate_limit::refill(core::time_point now)
{
    const double seconds = std::chrono::duration<double>(now - updated_).count();
    tokens_ = std::min(tokens_ + seconds * per_second_, per_second_);
    updated_ = now;
}

} // namespace catkintally::stand_ins
