#include <catkintally/runtime/metrics/latency_histogram.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace catkintally::runtime
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 4> probabilities = {0.5, 0.9, 0.99, 0.999};

/// The estimator has 2n + 3 markers for n probabilities and means nothing before all are set.
constexpr std::uint64_t least_samples = 2 * probabilities.size() + 3;

} // namespace

struct latency_histogram::window
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>> samples{
        acc::extended_p_square_probabilities = probabilities};

    [[nodiscard]] bool is_usable() const { return acc::count(samples) >= least_samples; }
};

latency_histogram::latency_histogram()
    : current_(std::make_unique<window>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::add(core::duration sample)
{
    const double seconds = std::chrono::duration<double>(sample).count();
    ++count_;
    sum_ += seconds;
    const auto bucket = std::lower_bound(bucket_bounds.begin(), bucket_bounds.end(), seconds);
    if (bucket != bucket_bounds.end())
    {
        ++buckets_[static_cast<std::size_t>(bucket - bucket_bounds.begin())];
    }
    if (acc::count(current_->samples) >= window_samples)
    {
        previous_ = std::exchange(current_, std::make_unique<window>());
    }
    current_->samples(seconds);
}

std::uint64_t latency_histogram::count_up_to(std::size_t bucket) const
{
    assert(bucket < buckets_.size());
    const auto end = buckets_.begin() + static_cast<std::ptrdiff_t>(bucket) + 1;
    return std::accumulate(buckets_.begin(), end, std::uint64_t{0});
}

std::optional<double> latency_histogram::quantile(double probability) const
{
    const auto* found = std::find(probabilities.begin(), probabilities.end(), probability);
    // A young window says little about the far tail, so the full one before it is preferred.
    const bool young = acc::count(current_->samples) < window_samples / 10;
    const window& used = young && previous_ ? *previous_ : *current_;
    if (found == probabilities.end() || !used.is_usable())
    {
        return std::nullopt;
    }
    return acc::extended_p_square(used.samples)[found - probabilities.begin()];
}

} // namespace catkintally::runtime
