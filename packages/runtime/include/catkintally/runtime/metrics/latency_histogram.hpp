#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace catkintally::runtime
{

/// Distribution of a latency in constant memory: counts in fixed buckets since the start, for
/// scrapers that aggregate instances, and quantiles of the newest samples. Quantiles cover the
/// current window of samples and, until that has enough of them, the one before, so that old load
/// fades out.
class latency_histogram
{
public:
    /// Upper bounds of the buckets in seconds, inclusive; a further bucket takes all longer
    /// samples. They cover what instances add (about a millisecond) up to the longest deadlines
    /// (seconds).
    static constexpr std::array<double, 13> bucket_bounds = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};

    /// Samples after which a new window starts.
    static constexpr std::uint64_t window_samples = 20'000;

    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    /// Adds one sample.
    void add(core::duration sample);

    /// Estimate in seconds for one of the reported probabilities (0.5, 0.9, 0.99, 0.999); nothing
    /// for another probability or while there are too few samples for an estimate.
    [[nodiscard]] std::optional<double> quantile(double probability) const;

    /// Samples since the start that are at most `bucket_bounds[bucket]` long.
    [[nodiscard]] std::uint64_t count_up_to(std::size_t bucket) const;

    /// Samples since the start.
    [[nodiscard]] std::uint64_t count() const { return count_; }

    /// Sum of all samples in seconds.
    [[nodiscard]] double sum() const { return sum_; }

private:
    struct window;

    std::uint64_t count_ = 0;
    double sum_ = 0;
    /// Samples by bucket; those above the last bound are only in count_.
    std::array<std::uint64_t, bucket_bounds.size()> buckets_{};
    std::unique_ptr<window> current_;
    std::unique_ptr<window> previous_;
};

} // namespace catkintally::runtime
