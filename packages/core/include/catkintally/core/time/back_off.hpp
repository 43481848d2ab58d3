#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>
#include <random>

namespace catkintally::core
{

struct back_off_options
{
    /// Maximum delay after the first failure.
    duration first = std::chrono::milliseconds(100);
    /// Upper limit of the delay after repeated failures.
    duration limit = std::chrono::seconds(2);
    /// Seed of the random jitter.
    std::uint64_t seed = 1;
};

/// Exponential back-off with jitter: the bound doubles with each failure up to `limit`, and the
/// delay is uniform between half the bound and the bound, so that processes that failed together do
/// not retry together.
class back_off
{
public:
    explicit back_off(const back_off_options& options)
        : options_(options)
        , bound_(options.first)
        , random_(options.seed)
    {
    }

    /// Returns the delay before the next attempt and doubles the bound.
    duration next()
    {
        const auto wait = std::uniform_int_distribution<duration::rep>(
            bound_.count() / 2, bound_.count())(random_);
        bound_ = std::min(bound_ * 2, options_.limit);
        return duration(wait);
    }

    /// Resets the bound to `first`; call it after a success.
    void reset() { bound_ = options_.first; }

private:
    back_off_options options_;
    duration bound_;
    std::mt19937_64 random_;
};

} // namespace catkintally::core
