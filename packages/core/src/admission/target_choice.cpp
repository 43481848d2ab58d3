#include <catkintally/core/admission/target_choice.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace catkintally::core
{
namespace
{

bool excludes(const admission_request& request, const std::string& name)
{
    const auto& excluded = request.excluded_targets;
    return std::find(excluded.begin(), excluded.end(), name) != excluded.end();
}

bool is_cold(const target_admission& target)
{
    return target.phase() == target_phase::cold || target.phase() == target_phase::ejected;
}

/// A suspect shares a target with no other suspect, so that a crash tells which one caused it.
bool holds_suspect(const target_admission& target)
{
    return std::any_of(
        target.in_flight_requests().begin(), target.in_flight_requests().end(),
        [](const target_admission::place& entry) { return entry.suspect; });
}

/// Load, as a share of the slots, that a slow target is worth avoiding for. 3 and 6 gave the same
/// or a longer tail (bench policy).
constexpr double slow_cost = 1.5;

/// Logarithm of the odds of a healthy target without evidence: slow for 5 % of the time.
constexpr double healthy_log_odds = 2.9;

/// Costs are compared in steps of 1/20, so that targets of about the same cost count as equal and
/// the own failure domain comes first.
constexpr double cost_steps = 20;

double slow_probability(const target_admission& target, const choice_input& input)
{
    return 1 /
           (1 +
            std::exp(healthy_log_odds - target.slow_log_likelihood_ratio(input.times, input.now)));
}

} // namespace

target_admission* target_choice::choose(const target_list& targets, const choice_input& input)
{
    // A retry prefers a failure domain other than those of the targets it excludes.
    std::vector<std::string> tried_domains;
    if (input.request.retry)
    {
        for (const auto& target : targets)
        {
            if (excludes(input.request, target->row().name))
            {
                tried_domains.push_back(target->row().failure_domain);
            }
        }
    }

    double max_weight = 1;
    for (const auto& target : targets)
    {
        max_weight = std::max<double>(max_weight, target->row().weight);
    }
    target_admission* best = nullptr;
    using rank = std::tuple<bool, double, bool, std::uint64_t>;
    rank best_rank;
    for (const auto& target : targets)
    {
        const std::uint32_t occupied = target->occupied(input.now);
        if (!allowed(*target, input, input.now) ||
            occupied >= target->limit(input.ahead, input.now) ||
            (input.suspect && holds_suspect(*target)))
        {
            continue;
        }
        const target_row& row = target->row();
        const bool tried =
            std::find(tried_domains.begin(), tried_domains.end(), row.failure_domain) !=
            tried_domains.end();
        const double load = (occupied + 1.0) / (static_cast<double>(row.slots) * row.weight);
        const bool remote = row.failure_domain != input.request.failure_domain;
        const double cost = load * max_weight + slow_cost * slow_probability(*target, input);
        const double step = std::floor(cost * cost_steps);
        const rank this_rank(tried, step, remote, random_.next());
        if (!best || this_rank < best_rank)
        {
            best = target.get();
            best_rank = this_rank;
        }
    }
    return best;
}

bool target_choice::allowed(
    const target_admission& target, const choice_input& input, time_point at)
{
    return target.accepts(at) && !(is_cold(target) && at < input.cold_blocked_until) &&
           !excludes(input.request, target.row().name);
}

} // namespace catkintally::core
