#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/limits/limit_share.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

namespace
{

/// Demand that is assumed of every instance at least, so that one without callers can serve its
/// first ones.
constexpr double min_demand = 0.05;

/// Least weight of an instance in another failure domain than the target. Instances prefer targets
/// of their own domain, so such a share would be used less.
constexpr double min_far_weight = 0.1;

/// Bounds of the number of holders. At least two, so that the limit is used in part if one fails.
/// The upper bound is the limit of one second and this many more.
constexpr double min_holders = 2;
constexpr double extra_holders = 2;

/// Average demand of the holders, as a multiple of their share. Callers come at random, so a holder
/// with less demand would often have a token and no request.
constexpr double demand_per_share = 1.8;

/// Requests that all holders together may have saved up, as a multiple of the limit and a constant.
constexpr double burst_seconds = 1.75;
constexpr double extra_burst = 3;

double demand_of(const instance_demand& reported)
{
    return std::max(reported.per_second, min_demand);
}

/// Demand for the target's service, by whether the instances are in the target's failure domain.
struct total_demand
{
    double near = 0;
    double far = 0;

    void add(const limited_target& target, const instance_demand& reported)
    {
        (reported.failure_domain == target.failure_domain ? near : far) += demand_of(reported);
    }
};

/// Weight of instances in other failure domains: greater if those in the target's domain have too
/// little demand to use the limit.
double far_weight(const limited_target& target, const total_demand& total)
{
    if (total.far <= 0)
    {
        return 1;
    }
    const double left = target.per_second / demand_per_share - total.near;
    return std::clamp(left / total.far, min_far_weight, 1.0);
}

/// Number of instances among which a limit is divided, if there are as many.
double holder_count(const limited_target& target, double average_demand)
{
    const double wanted = std::ceil(demand_per_share * target.per_second / average_demand);
    return std::clamp(wanted, min_holders, std::floor(target.per_second) + extra_holders);
}

/// Exponentially distributed with the weight as its rate; the instances with the lowest scores are
/// chosen.
double score_of(const limited_target& target, std::uint64_t instance, double weight)
{
    const std::uint64_t bits = split_mix(target.name ^ (instance * 0x9e3779b97f4a7c15)).next();
    // Uniform over (0, 1].
    const double uniform = (static_cast<double>(bits >> 11U) + 1) * 0x1.0p-53;
    return -std::log(uniform) / weight;
}

} // namespace

limit_share divide_limit(
    const limited_target& target,
    const instance_demand& self,
    const std::vector<instance_demand>& others,
    std::size_t missing)
{
    struct candidate
    {
        double score;
        double weight;
    };
    total_demand total;
    total.add(target, self);
    for (const instance_demand& each : others)
    {
        if (each.instance != self.instance)
        {
            total.add(target, each);
        }
    }
    const double weight_of_far = far_weight(target, total);
    const auto weigh = [&](const instance_demand& reported)
    {
        const bool near = reported.failure_domain == target.failure_domain;
        return demand_of(reported) * (near ? 1 : weight_of_far);
    };
    const double own_weight = weigh(self);
    const double own_score = score_of(target, self.instance, own_weight);
    std::vector<candidate> candidates;
    candidates.reserve(others.size());
    double total_weight = own_weight;
    for (const instance_demand& each : others)
    {
        if (each.instance != self.instance)
        {
            const double weight = weigh(each);
            candidates.push_back(
                {.score = score_of(target, each.instance, weight), .weight = weight});
            total_weight += weight;
        }
    }
    const auto known = static_cast<double>(candidates.size() + 1);
    const auto unknown = static_cast<double>(missing);
    const double average = total_weight / known;
    const double max_holders = holder_count(target, (total.near + total.far) / known);
    if (known + unknown > max_holders)
    {
        // Instances without a report are expected to have lower scores at the rate of average ones.
        const double lower_unknown = unknown * (1 - std::exp(-average * own_score));
        const auto lower = static_cast<double>(std::count_if(
            candidates.begin(), candidates.end(),
            [own_score](const candidate& each) { return each.score < own_score; }));
        if (lower + lower_unknown >= max_holders)
        {
            return {};
        }
        const double known_holders =
            std::clamp(std::round(max_holders * known / (known + unknown)), 1.0, known);
        const auto others_kept = static_cast<std::size_t>(known_holders) - 1;
        std::nth_element(
            candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(others_kept),
            candidates.end(),
            [](const candidate& a, const candidate& b) { return a.score < b.score; });
        candidates.resize(others_kept);
    }
    double held = own_weight;
    for (const candidate& each : candidates)
    {
        held += each.weight;
    }
    const double holders = std::min(known + unknown, max_holders);
    held += average * (holders - static_cast<double>(candidates.size() + 1));
    const double part = own_weight / held;
    const double burst_budget = burst_seconds * target.per_second + extra_burst;
    return {
        .per_second = target.per_second * part,
        .burst = 1 + part * std::max(0.0, burst_budget - holders),
        .holders = static_cast<std::size_t>(holders)};
}

} // namespace catkintally::core
