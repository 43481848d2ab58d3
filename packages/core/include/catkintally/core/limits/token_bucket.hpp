#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <algorithm>

namespace catkintally::core
{

/// Token bucket whose rate and size may change.
class token_bucket
{
public:
    explicit token_bucket(double tokens, time_point now)
        : tokens_(tokens)
        , updated_at_(now)
    {
    }

    /// Sets the rate in tokens per second and the largest number of tokens.
    void configure(double per_second, double size, time_point now)
    {
        refill(now);
        per_second_ = per_second;
        size_ = size;
        tokens_ = std::min(tokens_, size_);
    }

    [[nodiscard]] bool has_token(time_point now)
    {
        refill(now);
        // Tenths add up to slightly less than 1.
        return tokens_ >= 1 - 1e-6;
    }

    void take(time_point now)
    {
        refill(now);
        tokens_ -= 1;
    }

    /// Returns a token that was not used.
    void refund(time_point now)
    {
        refill(now);
        tokens_ = std::min(tokens_ + 1, size_);
    }

    /// Adds tokens that another instance has given away, also beyond the size.
    void deposit(double tokens, time_point now)
    {
        refill(now);
        tokens_ += tokens;
    }

    /// Time until the bucket holds `count` tokens, without regard to its size; duration::max() if
    /// it never does.
    [[nodiscard]] duration time_until(double count, time_point now)
    {
        refill(now);
        if (tokens_ >= count - 1e-6)
        {
            return duration::zero();
        }
        if (per_second_ <= 0)
        {
            return duration::max();
        }
        const std::chrono::duration<double> wait((count - tokens_) / per_second_);
        return std::chrono::ceil<duration>(std::min(wait, longest_wait));
    }

    [[nodiscard]] double tokens(time_point now)
    {
        refill(now);
        return tokens_;
    }

private:
    static constexpr std::chrono::duration<double> longest_wait = std::chrono::hours(1);

    void refill(time_point now)
    {
        const std::chrono::duration<double> passed = now - updated_at_;
        tokens_ = std::min(tokens_ + passed.count() * per_second_, std::max(size_, tokens_));
        updated_at_ = now;
    }

    double per_second_ = 0;
    double size_ = 0;
    double tokens_;
    time_point updated_at_;
};

} // namespace catkintally::core
