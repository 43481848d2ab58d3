// Selection of the targets that a request may use and of those that are probed.
#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/admission/target_set.hpp>
#include <catkintally/core/admission/target_subset.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Requests per second that a cold target can serve if its service does not configure a rate.
constexpr double default_warmup_rate = 4;

/// Fractions of the warm-up rate for the instances in the target's failure domain and for all
/// others. Together they leave room for instances that are not known yet.
constexpr double near_warmup_fraction = 0.8;
constexpr double far_warmup_fraction = 0.3;

/// Longest Retry-After while targets return from a pause.
constexpr duration return_retry_after = std::chrono::milliseconds(300);

} // namespace

probing_gateway::usable_targets
probing_gateway::candidates(const pending_admission& admission) const
{
    usable_targets found;
    std::vector<const target_row*> not_ejected;
    std::vector<const target_row*> reachable;
    std::vector<const target_row*> usable;
    const service_config* config = service(admission.request.service);
    if (config == nullptr)
    {
        return found;
    }
    const auto now = options_.timers->now();
    for (const target_row& each : config->targets)
    {
        const auto& excluded = admission.request.excluded_targets;
        const bool already_probed = std::any_of(
            admission.probes.begin(), admission.probes.end(),
            [&](const probe_attempt& other) { return other.name == each.name; });
        if (already_probed || !may_get_grant(config->service.name, each) ||
            std::find(excluded.begin(), excluded.end(), each.name) != excluded.end())
        {
            continue;
        }
        if (!within_warmup_limit(*config, each))
        {
            ++found.cold;
            continue;
        }
        if (!within_rate_limit(*config, each))
        {
            ++found.limited;
            continue;
        }
        usable.push_back(&each);
        const target_health& health = targets_.at({config->service.name, each.name}).health;
        if (!health.is_ejected(now))
        {
            not_ejected.push_back(&each);
        }
        if (!health.is_unreachable(now))
        {
            reachable.push_back(&each);
        }
    }
    if (not_ejected.size() * 2 >= usable.size())
    {
        found.rows = std::move(not_ejected);
        return found;
    }
    // If most targets are ejected, the cause is more likely an overload or a network partition of
    // this instance, and the remaining few could not carry the load. Probing unreachable targets
    // would only cost a probe timeout.
    const bool none_reachable = reachable.empty() && admission.probes.empty();
    found.rows = std::move(none_reachable ? usable : reachable);
    return found;
}

std::vector<const target_row*>
probing_gateway::choose_probe_targets(pending_admission& admission, const usable_targets& usable)
{
    if (auto remote = choose_remote_targets(admission, usable); !remote.empty())
    {
        return remote;
    }
    std::vector<subset_candidate> members;
    members.reserve(usable.rows.size());
    for (std::size_t index = 0; index < usable.rows.size(); ++index)
    {
        const target_row& target = *usable.rows[index];
        members.push_back(
            {.rank = targets_.at({admission.request.service, target.name}).rank,
             .near = target.failure_domain == options_.failure_domain,
             .index = index});
    }
    members = select_subset(std::move(members), fleet().near, admission.round);

    // Random order, with the targets in this instance's failure domain first.
    for (std::size_t i = members.size(); i > 1; --i)
    {
        std::swap(members[i - 1], members[random_.next() % i]);
    }
    std::stable_partition(
        members.begin(), members.end(), [](const subset_candidate& each) { return each.near; });
    members.resize(std::min(members.size(), options_.targets_per_round));
    std::vector<const target_row*> chosen;
    chosen.reserve(members.size());
    for (const subset_candidate& each : members)
    {
        chosen.push_back(usable.rows[each.index]);
    }
    return chosen;
}

fleet_size probing_gateway::fleet() const
{
    return options_.fleet ? options_.fleet() : fleet_size{};
}

bool probing_gateway::is_assigned_to_cold_target(
    const service_config& config, const target_row& target) const
{
    const bool near = target.failure_domain == options_.failure_domain;
    const fleet_size size = fleet();
    const double rate = config.service.warmup_requests_per_s > 0
                            ? config.service.warmup_requests_per_s
                            : default_warmup_rate;
    // Each assigned instance sends one request per interval, and as many instances are assigned as
    // use up their fraction of the rate. The assignment differs from target to target.
    const double desired_instances = rate * (near ? near_warmup_fraction : far_warmup_fraction) *
                                     std::chrono::duration<double>(options_.cold_interval).count();
    const auto instances =
        static_cast<double>(std::max<std::size_t>(near ? size.near : size.far, 1));
    const std::uint64_t hash = target_rank(options_.self, target.name);
    return static_cast<double>(hash >> 11U) * 0x1.0p-53 < desired_instances / instances;
}

bool probing_gateway::within_warmup_limit(
    const service_config& config, const target_row& target) const
{
    const target_health& health = targets_.at({config.service.name, target.name}).health;
    const auto now = options_.timers->now();
    return !health.is_cold(now) || (health.may_take(now, options_.cold_interval) &&
                                    is_assigned_to_cold_target(config, target));
}

bool probing_gateway::takes_requests(const std::string& service, const target_row& target) const
{
    return takes_new_work(target, *table_) &&
           !barriers_.find(service, target, options_.timers->now());
}

bool probing_gateway::may_get_grant(const std::string& service, const target_row& target) const
{
    return takes_requests(service, target) &&
           !barriers_.next_grant(service, target, options_.timers->now());
}

void probing_gateway::note_statements(
    const target_key& key, bool leaving, const std::optional<duration>& pause)
{
    const target_row* target = find_row(key);
    if (target == nullptr)
    {
        return;
    }
    const auto now = options_.timers->now();
    if (leaving)
    {
        barriers_.note_leaving(key.first, *target, now);
    }
    if (pause)
    {
        barriers_.note_pause(key.first, *target, *pause, now);
    }
}

std::optional<duration> probing_gateway::pause_retry_after(const std::string& name)
{
    const service_config* config = service(name);
    if (config == nullptr || has_available_target(name))
    {
        return std::nullopt;
    }
    const auto now = options_.timers->now();
    std::optional<time_point> first;
    duration longest{};
    for (const target_row& each : config->targets)
    {
        const auto barrier = barriers_.find(name, each, now);
        const auto free_at = barrier ? barrier->until : barriers_.next_grant(name, each, now);
        if (takes_new_work(each, *table_) && free_at)
        {
            first = std::min(first.value_or(*free_at), *free_at);
            longest = std::max(longest, barrier ? barrier->asked : return_retry_after);
        }
    }
    if (!first)
    {
        return std::nullopt;
    }
    // Spread, so that the callers do not return together, but not beyond what a target asked for.
    return std::min(*first - now + random_spread(), longest);
}

bool probing_gateway::has_available_target(const std::string& name) const
{
    const service_config* config = service(name);
    return config != nullptr &&
           std::any_of(
               config->targets.begin(), config->targets.end(),
               [&](const target_row& each) { return may_get_grant(name, each); });
}

} // namespace catkintally::core
