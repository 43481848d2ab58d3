#include <catkintally/runtime/metrics/latency_summary.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
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

struct latency_summary::window
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>> samples{
        acc::extended_p_square_probabilities = probabilities};

    [[nodiscard]] bool is_usable() const { return acc::count(samples) >= least_samples; }
};

latency_summary::latency_summary()
    : current_(std::make_unique<window>())
{
}

latency_summary::~latency_summary() = default;

void latency_summary::add(core::duration sample)
{
    const double seconds = std::chrono::duration<double>(sample).count();
    ++count_;
    sum_ += seconds;
    if (acc::count(current_->samples) >= window_samples)
    {
        previous_ = std::exchange(current_, std::make_unique<window>());
    }
    current_->samples(seconds);
}

std::optional<double> latency_summary::quantile(double probability) const
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
