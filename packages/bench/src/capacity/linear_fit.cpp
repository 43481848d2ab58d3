#include <catkintally/bench/capacity/linear_fit.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace catkintally::bench
{

linear_fit fit_line(const std::vector<sample>& samples)
{
    assert(samples.size() >= 2);
    const auto count = static_cast<double>(samples.size());
    double mean_size = 0;
    double mean_cost = 0;
    for (const sample& point : samples)
    {
        mean_size += point.size / count;
        mean_cost += point.cost / count;
    }

    double covariance = 0;
    double variance = 0;
    for (const sample& point : samples)
    {
        covariance += (point.size - mean_size) * (point.cost - mean_cost);
        variance += (point.size - mean_size) * (point.size - mean_size);
    }
    assert(variance > 0);

    linear_fit fit;
    fit.slope = covariance / variance;
    fit.offset = mean_cost - fit.slope * mean_size;

    double largest_cost = 0;
    double largest_distance = 0;
    for (const sample& point : samples)
    {
        largest_cost = std::max(largest_cost, std::abs(point.cost));
        largest_distance =
            std::max(largest_distance, std::abs(point.cost - fit.offset - fit.slope * point.size));
    }
    fit.worst_residual = largest_cost > 0 ? largest_distance / largest_cost : 0;
    return fit;
}

} // namespace catkintally::bench
