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
        tokens_ = std::min(tokens_, cap());
    }

    /// Bounds the unused allowance to a number of retries.
    void set_cap(double retries)
    {
        most_ = retries;
        tokens_ = std::min(tokens_, cap());
    }

    /// Counts an admitted first attempt.
    void admitted() { tokens_ = std::min(tokens_ + percent_ / 100.0, cap()); }

    /// Takes the allowance for one retry; false if there is none.
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

    /// Returns the allowance of a retry that was not admitted.
    void refund() { tokens_ = std::min(tokens_ + 1, cap()); }

    /// Retries that may be admitted now.
    [[nodiscard]] double tokens() const { return percent_ == 0 ? 0 : tokens_; }

private:
    /// Without a bound of its own, unused allowance lasts for 100 admitted requests, and for at
    /// least one retry.
    [[nodiscard]] double cap() const { return std::min(std::max<double>(percent_, 1), most_); }

    std::uint32_t percent_ = 0;
    double most_ = std::numeric_limits<double>::infinity();
    /// One retry is allowed before the first admitted request.
    double tokens_ = 1;
};

} // namespace catkintally::core
