#pragma once

#include <vector>

namespace catkintally::bench
{

/// One measured point: size of the input and cost at that size.
struct sample
{
    double size = 0;
    double cost = 0;
};

/// Straight line cost = offset + slope * size.
struct linear_fit
{
    double offset = 0;
    double slope = 0;
    /// Largest distance of a sample from the line, as a share of the largest cost.
    double worst_residual = 0;
};

/// Least-squares line through at least two samples of different size.
[[nodiscard]] linear_fit fit_line(const std::vector<sample>& samples);

} // namespace catkintally::bench
