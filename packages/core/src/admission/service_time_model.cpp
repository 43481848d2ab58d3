#include <catkintally/core/admission/service_time_model.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

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

/// Logarithm of the slowdown to tell from healthy work: 4, as targets with noisy neighbours show.
constexpr double slow_log_factor = 1.3862943611198906;

/// Largest evidence of one request within the late bound. Work has a heavier tail than the model:
/// one very long request must not condemn a target with several slots.
constexpr double max_evidence = 2.5;

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

double service_time_model::finished_log_likelihood_ratio(duration elapsed) const
{
    if (!ready())
    {
        return 0;
    }
    const double shift = slow_log_factor / spread();
    return std::clamp(shift * deviation(elapsed) - shift * shift / 2, -max_evidence, max_evidence);
}

double service_time_model::running_log_likelihood_ratio(duration elapsed) const
{
    if (!ready())
    {
        return 0;
    }
    // Survival functions of both log-normal distributions; the logarithm is safe with the floor.
    const double healthy = deviation(elapsed);
    const double slow = healthy - slow_log_factor / spread();
    const auto survival = [](double at)
    { return std::max(std::erfc(at / std::numbers::sqrt2) / 2, 1e-9); };
    // Past the late bound it goes on growing slowly, so that a target that hangs is found.
    const double overdue = std::max((healthy - late_quantile) * spread(), 0.0);
    return std::min(std::log(survival(slow) / survival(healthy)), max_evidence) + overdue;
}

duration service_time_model::median() const
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

double service_time_model::deviation(duration elapsed) const
{
    return (log_us(elapsed) - log_mean_) / spread();
}

double service_time_model::spread() const
{
    return std::max(std::sqrt(log_variance_), min_spread);
}

} // namespace catkintally::core
