#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/limits/limit_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

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

/// What is divided, in terms common to limits and quotas.
struct division
{
    /// Hash of the name, by which the holders are chosen.
    std::uint64_t name = 0;
    double per_second = 0;
    /// Requests that all holders together may have saved up, those of the first request included.
    double saved = 0;
    double max_holders = 0;
};

/// Demand that is added to the reported one of every instance when a quota is divided. The demand
/// of an instance with a few requests a minute is uncertain by a factor of two.
constexpr double demand_uncertainty = 0.15;

/// Requests that a holder of a quota can have saved up on average. With one each, half of all saved
/// tokens are fractions of which nobody can make use, and 10 to 12 % of the requests of a small
/// organisation are refused, against 0 to 2 % with two and none with four.
constexpr double saved_per_holder = 3;

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
double score_of(std::uint64_t name, std::uint64_t instance, double weight)
{
    const std::uint64_t bits = split_mix(name ^ (instance * 0x9e3779b97f4a7c15)).next();
    // Uniform over (0, 1].
    const double uniform = (static_cast<double>(bits >> 11U) + 1) * 0x1.0p-53;
    return -std::log(uniform) / weight;
}

struct candidate
{
    std::uint64_t instance = 0;
    double weight = 0;
    double score = 0;
};

double quota_weight(const instance_demand& reported)
{
    return std::max(reported.per_second, 0.0) + demand_uncertainty;
}

double most_holders(const divided_quota& quota)
{
    return std::max(min_holders, std::floor(quota.saved / saved_per_holder));
}

/// Share of an instance of weight `own_weight` beside `others` and `missing` average ones.
limit_share divide(
    const division& whole,
    std::uint64_t self,
    double own_weight,
    std::vector<candidate> candidates,
    std::size_t missing)
{
    double total_weight = own_weight;
    for (const candidate& each : candidates)
    {
        total_weight += each.weight;
    }
    const auto known = static_cast<double>(candidates.size() + 1);
    const auto unknown = static_cast<double>(missing);
    const double average = total_weight / known;
    if (known + unknown > whole.max_holders)
    {
        const double own_score = score_of(whole.name, self, own_weight);
        for (candidate& each : candidates)
        {
            each.score = score_of(whole.name, each.instance, each.weight);
        }
        // Instances without a report are expected to have lower scores at the rate of average ones.
        const double lower_unknown = unknown * (1 - std::exp(-average * own_score));
        const auto lower = static_cast<double>(std::count_if(
            candidates.begin(), candidates.end(),
            [own_score](const candidate& each) { return each.score < own_score; }));
        if (lower + lower_unknown >= whole.max_holders)
        {
            return {};
        }
        const double known_holders =
            std::clamp(std::round(whole.max_holders * known / (known + unknown)), 1.0, known);
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
    const double holders = std::min(known + unknown, whole.max_holders);
    held += average * (holders - static_cast<double>(candidates.size() + 1));
    const double part = own_weight / held;
    return {
        .per_second = whole.per_second * part,
        .burst = 1 + part * std::max(0.0, whole.saved - holders),
        .holders = static_cast<std::size_t>(holders)};
}

} // namespace

limit_share divide_limit(
    const limited_target& target,
    const instance_demand& self,
    const std::vector<instance_demand>& others,
    std::size_t missing)
{
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
    std::vector<candidate> candidates;
    candidates.reserve(others.size());
    for (const instance_demand& each : others)
    {
        if (each.instance != self.instance)
        {
            candidates.push_back({.instance = each.instance, .weight = weigh(each)});
        }
    }
    const auto known = static_cast<double>(candidates.size() + 1);
    const division whole{
        .name = target.name,
        .per_second = target.per_second,
        .saved = burst_seconds * target.per_second + extra_burst,
        .max_holders = holder_count(target, (total.near + total.far) / known)};
    return divide(whole, self.instance, weigh(self), std::move(candidates), missing);
}

limit_share divide_quota(
    const divided_quota& quota,
    const instance_demand& self,
    const std::vector<instance_demand>& others)
{
    std::vector<candidate> candidates;
    candidates.reserve(others.size());
    for (const instance_demand& each : others)
    {
        if (each.instance != self.instance)
        {
            candidates.push_back({.instance = each.instance, .weight = quota_weight(each)});
        }
    }
    const division whole{
        .name = quota.name,
        .per_second = quota.per_second,
        .saved = quota.saved,
        .max_holders = most_holders(quota)};
    return divide(whole, self.instance, quota_weight(self), std::move(candidates), 0);
}

std::vector<std::uint64_t>
quota_holders(const divided_quota& quota, const std::vector<instance_demand>& demands)
{
    std::vector<candidate> candidates;
    candidates.reserve(demands.size());
    for (const instance_demand& each : demands)
    {
        const double weight = quota_weight(each);
        candidates.push_back(
            {.instance = each.instance,
             .weight = weight,
             .score = score_of(quota.name, each.instance, weight)});
    }
    const auto most = static_cast<std::size_t>(most_holders(quota));
    if (candidates.size() > most)
    {
        std::nth_element(
            candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(most),
            candidates.end(),
            [](const candidate& a, const candidate& b) { return a.score < b.score; });
        candidates.resize(most);
    }
    std::vector<std::uint64_t> holders;
    holders.reserve(candidates.size());
    for (const candidate& each : candidates)
    {
        holders.push_back(each.instance);
    }
    return holders;
}

} // namespace catkintally::core
