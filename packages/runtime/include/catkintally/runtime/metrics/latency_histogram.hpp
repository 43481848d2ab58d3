#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace catkintally::runtime
{

/// Quantiles of a latency, estimated in constant memory. Estimates cover the current window of
/// samples and, until that has enough of them, the one before, so that old load fades out.
class latency_summary
{
public:
    /// Samples after which a new window starts.
    static constexpr std::uint64_t window_samples = 20'000;

    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;

    /// Adds one sample.
    void add(core::duration sample);

    /// Estimate in seconds for one of the reported probabilities (0.5, 0.9, 0.99, 0.999); nothing
    /// for another probability or while there are too few samples for an estimate.
    [[nodiscard]] std::optional<double> quantile(double probability) const;

    /// Samples since the start.
    [[nodiscard]] std::uint64_t count() const { return count_; }

    /// Sum of all samples in seconds.
    [[nodiscard]] double sum() const { return sum_; }

private:
    struct window;

    std::uint64_t count_ = 0;
    double sum_ = 0;
    std::unique_ptr<window> current_;
    std::unique_ptr<window> previous_;
};

} // namespace catkintally::runtime
