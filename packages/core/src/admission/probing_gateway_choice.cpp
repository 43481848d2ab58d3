// Evaluation of probe reports: which of the probed targets a request may use, and the best of them.
#include <catkintally/core/admission/probing_gateway.hpp>

#include <algorithm>
#include <iterator>

namespace catkintally::core
{

namespace
{

/// A target with a free slot whose relative time is at most this multiple of the service's baseline
/// slowdown is chosen without another probe round: that would cost a round trip and rarely finds a
/// better target.
constexpr double acceptable_slowdown = 2.0;

} // namespace

bool probing_gateway::is_acceptable(const probe_attempt& attempt, double baseline)
{
    return attempt.result.estimate.relative_time <= acceptable_slowdown * baseline;
}

double probing_gateway::baseline_slowdown(const std::string& service) const
{
    const auto found = slowdown_windows_.find(service);
    return found == slowdown_windows_.end()
               ? 1
               : found->second.service_slowdown(options_.timers->now());
}

void probing_gateway::update_estimate(
    const pending_admission& admission, probe_attempt& attempt) const
{
    const target_key key(admission.request.service, attempt.name);
    const target_row* target = find_row(key);
    const auto known = targets_.find(key);
    if (target == nullptr || known == targets_.end())
    {
        return;
    }
    const auto& in_flight = known->second.in_flight;
    target_estimate_inputs inputs;
    inputs.load = attempt.result.report.load.value_or(load_report{});
    inputs.slots = target->slots;
    inputs.sent_since_report = static_cast<std::uint32_t>(
        std::distance(in_flight.lower_bound(attempt.probed_at), in_flight.end()));
    inputs.cold = known->second.health.is_cold(options_.timers->now());
    inputs.remote = target->failure_domain != options_.failure_domain;
    attempt.result.estimate = estimate(inputs);
}

bool probing_gateway::has_slot_for(
    const pending_admission& admission, const probe_attempt& attempt) const
{
    const target_estimate& estimate = attempt.result.estimate;
    const admission_request& request = admission.request;
    const auto known = targets_.find({request.service, attempt.name});
    if (!estimate.free || known == targets_.end() || !shortage_.covers(request.service))
    {
        return estimate.free;
    }
    const auto now = options_.timers->now();
    const target_state& state = known->second;
    if (now < state.full_until)
    {
        return false;
    }
    const load_report& latest = state.last_load.value_or(load_report{});
    const bool full_by_now = latest.slots > 0 && latest.running + latest.queued >= latest.slots;
    if (!request.idempotent && full_by_now)
    {
        // If the target resets the connection, the request cannot be sent again.
        return false;
    }
    const target_row* target = find_row({request.service, attempt.name});
    const std::uint32_t reported = attempt.result.report.load.value_or(load_report{}).slots;
    const std::uint32_t slots = reported > 0 || target == nullptr ? reported : target->slots;
    return estimate.free_slots > shortage_.reserve(request, admission.terms, slots, now);
}

bool probing_gateway::is_nearly_full(const pending_admission& admission, const target_row& target)
{
    const auto attempt = std::find_if(
        admission.probes.begin(), admission.probes.end(),
        [&](const probe_attempt& each) { return each.name == target.name; });
    if (attempt == admission.probes.end())
    {
        return false;
    }
    const std::uint32_t free_slots = std::min(attempt->result.estimate.free_slots, target.slots);
    return nearly_full_cost::is_nearly_full(target.slots - free_slots + 1, target.slots);
}

const probing_gateway::probe_attempt* probing_gateway::find_best(pending_admission& admission)
{
    const probe_attempt* best = nullptr;
    const double baseline = baseline_slowdown(admission.request.service);
    for (probe_attempt& each : admission.probes)
    {
        const target_key key(admission.request.service, each.name);
        const target_row* target = find_row(key);
        const probe_report& report = each.result.report;
        if (each.result.pending || target == nullptr ||
            !may_get_grant(admission.request.service, *target) || !report.answered ||
            !report.healthy || (!report.name.empty() && report.name != each.name))
        {
            continue;
        }
        const service_config& config = *service(admission.request.service);
        if (!within_warmup_limit(config, *target) || !within_rate_limit(config, *target))
        {
            continue;
        }
        update_estimate(admission, each);
        // Requests are not queued at targets, where they would start at whatever speed the target
        // has by then. A target that is slow for a moment is better used when it is fast again.
        const double slowdown = report.load ? report.load->slowdown : 1;
        if (!has_slot_for(admission, each) || slowdown > acceptable_slowdown * baseline)
        {
            continue;
        }
        if (best == nullptr ||
            each.result.estimate.relative_time < best->result.estimate.relative_time)
        {
            best = &each;
        }
    }
    return best;
}

} // namespace catkintally::core
