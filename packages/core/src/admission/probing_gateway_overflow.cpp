// Overflow of requests to other failure domains.
#include <catkintally/core/admission/probing_gateway.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

namespace catkintally::core
{

namespace
{

/// A slot at a target that is slower than this multiple of the service's baseline is not usable, as
/// in probing_gateway::find_best.
constexpr double usable_slowdown = 2.0;

constexpr double bytes_per_kilobyte = 1'000;

} // namespace

domain_overflow* probing_gateway::overflow(const std::string& name)
{
    const service_config* config = options_.overflow.enabled ? service(name) : nullptr;
    if (config == nullptr ||
        std::any_of(
            config->targets.begin(), config->targets.end(),
            [&](const target_row& each) { return each.slots < options_.overflow.min_slots; }))
    {
        return nullptr;
    }
    auto found = overflows_.find(name);
    if (found == overflows_.end())
    {
        domain_overflow_options options;
        options.settings = options_.overflow;
        options.home = options_.failure_domain;
        options.seed = options_.seed ^ std::hash<std::string>()(name);
        options.targets_per_round = options_.targets_per_round;
        options.changed = [this, name](bool active)
        {
            if (options_.overflow_changed)
            {
                options_.overflow_changed(name, active);
            }
        };
        found = overflows_.try_emplace(name, std::move(options)).first;
    }
    return &found->second;
}

void probing_gateway::record_probe_outcome(const target_key& key, const probe_report& report)
{
    domain_overflow* service_overflow = overflow(key.first);
    const target_row* target = find_row(key);
    const auto known = targets_.find(key);
    if (service_overflow == nullptr || target == nullptr || known == targets_.end())
    {
        return;
    }
    const auto now = options_.timers->now();
    const auto& in_flight = known->second.in_flight;
    target_estimate_inputs inputs;
    inputs.load = report.load.value_or(load_report{});
    inputs.slots = target->slots;
    inputs.sent_since_report = static_cast<std::uint32_t>(
        std::distance(in_flight.lower_bound(now - report.took), in_flight.end()));
    inputs.cold = known->second.health.is_cold(now);
    const target_estimate expected = estimate(inputs);
    probe_outcome outcome;
    outcome.usable = report.answered && report.healthy && !report.leaving && !report.pause &&
                     (report.name.empty() || report.name == key.second) && expected.free &&
                     expected.relative_time <= usable_slowdown * baseline_slowdown(key.first);
    outcome.relative_time = expected.relative_time;
    outcome.round_trip = report.answered ? report.took : options_.probe_timeout;
    service_overflow->record_probe(target->failure_domain, outcome, now);
}

std::vector<const target_row*>
probing_gateway::choose_remote_targets(pending_admission& admission, const usable_targets& usable)
{
    domain_overflow* service_overflow = overflow(admission.request.service);
    const bool has_near = std::any_of(
        usable.rows.begin(), usable.rows.end(),
        [&](const target_row* each) { return each->failure_domain == options_.failure_domain; });
    // Without a target at home, others are probed anyway.
    if (service_overflow == nullptr || !has_near)
    {
        return {};
    }
    const auto now = options_.timers->now();
    std::vector<remote_candidate> candidates;
    for (std::size_t index = 0; index < usable.rows.size(); ++index)
    {
        const target_row& row = *usable.rows[index];
        const target_state& known = targets_.at({admission.request.service, row.name});
        if (row.failure_domain != options_.failure_domain && !known.health.is_cold(now))
        {
            candidates.push_back(
                {.domain = row.failure_domain, .rank = known.rank, .index = index});
        }
    }
    overflow_question question;
    question.round = admission.round;
    question.first = !std::exchange(admission.asked_overflow, true);
    question.kilobytes = static_cast<double>(admission.request.body_bytes) / bytes_per_kilobyte;
    question.objective_left = admission.request.objective_left;
    question.probing_time = std::max(admission.probe_until - now, duration::zero());
    std::vector<const target_row*> chosen;
    for (const remote_candidate& each :
         service_overflow->choose(question, std::move(candidates), fleet().near, now))
    {
        chosen.push_back(usable.rows[each.index]);
    }
    admission.left_domain = admission.left_domain || !chosen.empty();
    return chosen;
}

void probing_gateway::record_grant(const pending_admission& admission, const target_row& target)
{
    domain_overflow* service_overflow = overflow(admission.request.service);
    if (service_overflow != nullptr && admission.left_domain &&
        target.failure_domain != options_.failure_domain)
    {
        service_overflow->record_departure(options_.timers->now());
    }
}

void probing_gateway::record_response(const completion_report& report)
{
    domain_overflow* service_overflow = overflow(report.service);
    if (service_overflow != nullptr && report.outcome == completion_outcome::answered)
    {
        service_overflow->record_response(
            report.service_time, static_cast<double>(report.body_bytes) / bytes_per_kilobyte);
    }
}

std::vector<domain_overflow_dump> probing_gateway::overflows() const
{
    std::vector<domain_overflow_dump> all;
    for (const auto& [name, each] : overflows_)
    {
        all.push_back(each.dump(options_.timers->now()));
        all.back().service = name;
    }
    return all;
}

} // namespace catkintally::core
