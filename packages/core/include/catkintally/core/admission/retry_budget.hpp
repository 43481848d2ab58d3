#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace catkintally::core
{

/// Bounds the retries of one service to a percentage of its admitted first attempts, so that
/// retries cannot multiply an overload.
class retry_budget
{
public:
    /// Changes the percentage; 0 forbids retries.
    void set_percent(std::uint32_t percent)
    {
        percent_ = percent;
        tokens_ = std::min(tokens_, token_limit());
    }

    /// Limits the tokens that can accumulate, each worth one retry.
    void set_cap(double retries)
    {
        max_tokens_ = retries;
        tokens_ = std::min(tokens_, token_limit());
    }

    /// Adds the tokens earned by one admitted first attempt.
    void admitted() { tokens_ = std::min(tokens_ + percent_ / 100.0, token_limit()); }

    /// Takes the token for one retry; false if there is none.
    bool take()
    {
        // Ten additions of 0.1 give slightly less than 1.
        if (percent_ == 0 || tokens_ < 1 - 1e-6)
        {
            return false;
        }
        tokens_ = std::max(tokens_ - 1, 0.0);
        return true;
    }

    /// Returns the token of a retry that was not admitted.
    void refund() { tokens_ = std::min(tokens_ + 1, token_limit()); }

    /// Number of retries that may be admitted now.
    [[nodiscard]] double tokens() const { return percent_ == 0 ? 0 : tokens_; }

private:
    /// Unless set_cap() sets a lower limit, tokens accumulate over up to 100 admitted requests, and
    /// to at least one retry.
    [[nodiscard]] double token_limit() const
    {
        return std::min(std::max<double>(percent_, 1), max_tokens_);
    }

    std::uint32_t percent_ = 0;
    double max_tokens_ = std::numeric_limits<double>::infinity();
    /// Allows one retry before the first admitted request.
    double tokens_ = 1;
};

} // namespace catkintally::core
