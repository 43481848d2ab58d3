#include <catkintally/core/admission/service_time_model.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{
namespace
{

/// Weight of a new completion once the estimate has settled: the last few hundred count.
constexpr double settled_weight = 1.0 / 256;

/// Smallest spread of the logarithm. Keeps constant work from making every delay of a few percent
/// look late; the late bound is then about 1.8 times the median.
constexpr double min_spread = 0.25;

/// Quantile of the standard normal distribution that 1 in 100 exceeds.
constexpr double late_quantile = 2.33;

double log_us(duration elapsed)
{
    return std::log(static_cast<double>(std::max<duration::rep>(elapsed.count(), 1)));
}

duration from_us(double us)
{
    return duration(static_cast<duration::rep>(us));
}

} // namespace

void service_time_model::add(duration elapsed)
{
    ++count_;
    const double weight = std::max(1.0 / count_, settled_weight);
    const double difference = log_us(elapsed) - log_mean_;
    log_mean_ += weight * difference;
    log_variance_ = (1 - weight) * (log_variance_ + weight * difference * difference);
    mean_ += weight * (static_cast<double>(elapsed.count()) - mean_);
}

double service_time_model::survival(duration elapsed) const
{
    if (!ready())
    {
        return 1;
    }
    return std::erfc((log_us(elapsed) - log_mean_) / (spread() * std::sqrt(2.0))) / 2;
}

duration service_time_model::typical() const
{
    return ready() ? from_us(std::exp(log_mean_)) : duration::zero();
}

duration service_time_model::mean() const
{
    return ready() ? from_us(mean_) : duration::zero();
}

duration service_time_model::late_bound() const
{
    return ready() ? from_us(std::exp(log_mean_ + late_quantile * spread())) : duration::max();
}

double service_time_model::spread() const
{
    return std::max(std::sqrt(log_variance_), min_spread);
}

} // namespace catkintally::core
