// Which targets a request may use, and which of them are asked.
#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/admission/target_set.hpp>
#include <catkintally/core/admission/target_subset.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Requests a second that a cold target is taken to carry if its service does not say.
constexpr double usual_warmup_rate = 4;

/// Parts of that rate for the instances of the target's failure domain and for all others. Together
/// they leave room for instances that are not known yet.
constexpr double near_cold_part = 0.8;
constexpr double far_cold_part = 0.3;

} // namespace

std::vector<const target_row*> probing_gateway::candidates(const application& asking) const
{
    std::vector<const target_row*> healthy;
    std::vector<const target_row*> reachable;
    std::vector<const target_row*> all;
    const service_config* config = service(asking.request.service);
    if (config == nullptr)
    {
        return all;
    }
    const auto now = options_.timers->now();
    for (const target_row& each : config->targets)
    {
        const auto& excluded = asking.request.excluded_targets;
        const bool asked = std::any_of(
            asking.asked.begin(), asking.asked.end(),
            [&](const asked_target& other) { return other.name == each.name; });
        if (asked || !takes_new_work(each, *table_) ||
            std::find(excluded.begin(), excluded.end(), each.name) != excluded.end())
        {
            continue;
        }
        if (!may_use(*config, each))
        {
            continue;
        }
        all.push_back(&each);
        const target_health& health = targets_.at({config->service.name, each.name}).health;
        if (!health.is_ejected(now))
        {
            healthy.push_back(&each);
        }
        if (!health.is_unreachable(now))
        {
            reachable.push_back(&each);
        }
    }
    if (healthy.size() * 2 >= all.size())
    {
        return healthy;
    }
    // With most targets ejected, the cause is more likely an overload or a cut of this instance,
    // and the few that are left could not carry the work. Those that can't be reached would only
    // cost the time of a question.
    return reachable.empty() && asking.asked.empty() ? all : reachable;
}

std::vector<const target_row*> probing_gateway::choose_to_ask(const application& asking)
{
    const auto usable = candidates(asking);
    std::vector<subset_candidate> members;
    members.reserve(usable.size());
    for (std::size_t index = 0; index < usable.size(); ++index)
    {
        const target_row& target = *usable[index];
        members.push_back(
            {.rank = targets_.at({asking.request.service, target.name}).rank,
             .near = target.failure_domain == options_.failure_domain,
             .index = index});
    }
    members = select_subset(std::move(members), fleet().near, asking.round);

    // A random order, with the targets of the own failure domain first.
    for (std::size_t i = members.size(); i > 1; --i)
    {
        std::swap(members[i - 1], members[random_.next() % i]);
    }
    std::stable_partition(
        members.begin(), members.end(), [](const subset_candidate& each) { return each.near; });
    members.resize(std::min(members.size(), options_.targets_asked));
    std::vector<const target_row*> chosen;
    chosen.reserve(members.size());
    for (const subset_candidate& each : members)
    {
        chosen.push_back(usable[each.index]);
    }
    return chosen;
}

fleet_size probing_gateway::fleet() const
{
    return options_.fleet ? options_.fleet() : fleet_size{};
}

bool probing_gateway::is_chosen_for_cold(
    const service_config& config, const target_row& target) const
{
    const bool near = target.failure_domain == options_.failure_domain;
    const fleet_size size = fleet();
    const double rate = config.service.warmup_requests_per_s > 0
                            ? config.service.warmup_requests_per_s
                            : usual_warmup_rate;
    // Each chosen instance sends one request an interval; so many are chosen that they use their
    // part of the rate. The choice differs from target to target.
    const double wanted = rate * (near ? near_cold_part : far_cold_part) *
                          std::chrono::duration<double>(options_.cold_interval).count();
    const auto others = static_cast<double>(std::max<std::size_t>(near ? size.near : size.far, 1));
    const std::uint64_t lot = target_rank(options_.self, target.name);
    return static_cast<double>(lot >> 11U) * 0x1.0p-53 < wanted / others;
}

bool probing_gateway::may_use(const service_config& config, const target_row& target) const
{
    const target_health& health = targets_.at({config.service.name, target.name}).health;
    const auto now = options_.timers->now();
    return !health.is_cold(now) ||
           (health.may_take(now, options_.cold_interval) && is_chosen_for_cold(config, target));
}

bool probing_gateway::has_targets(const std::string& name) const
{
    const service_config* config = service(name);
    return config != nullptr &&
           std::any_of(
               config->targets.begin(), config->targets.end(),
               [this](const target_row& each) { return takes_new_work(each, *table_); });
}

} // namespace catkintally::core
