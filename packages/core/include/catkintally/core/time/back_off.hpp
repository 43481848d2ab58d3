#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>
#include <random>

namespace catkintally::core
{

struct back_off_options
{
    /// Longest wait after the first failure.
    duration first = std::chrono::milliseconds(100);
    /// Longest wait after many failures.
    duration limit = std::chrono::seconds(2);
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// Waits between attempts: the upper bound doubles with each failure, and the wait is drawn evenly
/// from its upper half, so that processes that failed together do not return together.
class back_off
{
public:
    explicit back_off(const back_off_options& options)
        : options_(options)
        , bound_(options.first)
        , random_(options.seed)
    {
    }

    /// Wait before the next attempt.
    duration next()
    {
        const auto wait = std::uniform_int_distribution<duration::rep>(
            bound_.count() / 2, bound_.count())(random_);
        bound_ = std::min(bound_ * 2, options_.limit);
        return duration(wait);
    }

    /// Starts again after a success.
    void reset() { bound_ = options_.first; }

private:
    back_off_options options_;
    duration bound_;
    std::mt19937_64 random_;
};

} // namespace catkintally::core
