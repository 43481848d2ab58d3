#include <catkintally/core/admission/shortage_policy.hpp>
#include <catkintally/core/admission/split_mix.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <string>

namespace catkintally::core
{

namespace
{

/// Multiple of the usual work time that a request leaves of its objective when it stops looking for
/// a slot. Work times vary, and targets that are nearly full are slower.
constexpr double work_margin = 1.5;

/// Bounds on the fraction of the objective for which a request looks for a slot.
constexpr double min_probing_fraction = 0.25;
constexpr double max_probing_fraction = 0.75;

/// Requests that leave slots to others go over the targets about so many times at most. More would
/// cost health checks, of which a request with a long objective would make hundreds.
constexpr int max_passes = 16;

/// A request is not sent if less than this part of the usual work time is left until the deadline.
constexpr double min_deadline_fraction = 0.5;

/// Callers of each further rank return this much later.
constexpr duration retry_after_step = std::chrono::milliseconds(300);

/// Identifies a request that waits for a service. One that comes back and draws another part of a
/// split has not waited for that service. 0 if the request has no identity.
std::uint64_t return_key(const admission_request& request)
{
    return request.fingerprint == 0
               ? 0
               : split_mix(request.fingerprint ^ std::hash<std::string>()(request.service)).next();
}

} // namespace

shortage_policy::shortage_policy(shortage_policy_options options)
    : options_(std::move(options))
    , organisations_(options_.organisation_rate)
    , random_(options_.seed)
{
}

void shortage_policy::apply(const table_snapshot& table)
{
    std::map<std::string, covered_service> kept;
    for (const auto& [name, config] : table.services)
    {
        std::uint32_t slots = std::numeric_limits<std::uint32_t>::max();
        for (const target_row& each : config.targets)
        {
            slots = std::min(slots, each.slots);
        }
        if (config.targets.empty() || slots < options_.min_slots)
        {
            continue;
        }
        auto known = services_.extract(name);
        covered_service& covered =
            known.empty() ? kept[name] : kept.insert(std::move(known)).position->second;
        covered.slots = slots;
    }
    services_ = std::move(kept);
    organisations_.apply(table);
}

bool shortage_policy::is_short(const std::string& service, time_point now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.shortage.is_short(now);
}

bool shortage_policy::yields(
    const service_shortage& shortage, const std::string& organisation, time_point now)
{
    double excess = organisations_.excess(organisation, now);
    if (excess <= 0)
    {
        return false;
    }
    excess *= shortage.part_kept(organisations_.served_fraction(organisation, now), now);
    // Only the requests in excess yield, so that the organisation keeps its share.
    return static_cast<double>(random_.next() >> 11U) * 0x1.0p-53 < excess;
}

shortage_terms shortage_policy::admit(const admission_request& request, time_point now)
{
    const auto found = services_.find(request.service);
    if (found == services_.end())
    {
        return {};
    }
    service_shortage& shortage = found->second.shortage;
    const duration work =
        shortage.record_request(request.priority, request.objective_left > duration::zero(), now);
    if (!request.retry)
    {
        organisations_.record_request(request.organisation, now);
    }
    const bool returned = !request.retry && returned_.take(return_key(request), now);
    shortage_terms terms;
    terms.short_of_slots = shortage.is_short(now);
    terms.rank = shortage.rank_of(request.priority, now);
    if (!terms.short_of_slots)
    {
        return terms;
    }
    if (yields(shortage, request.organisation, now))
    {
        terms.rank = std::min(terms.rank + 1, service_shortage::max_rank);
        terms.excess = true;
    }
    if (returned && terms.rank > 0)
    {
        --terms.rank;
    }
    if (work <= duration::zero())
    {
        return terms;
    }
    const auto part = [](duration whole, double fraction)
    { return std::chrono::duration_cast<duration>(whole * fraction); };
    terms.refused = request.deadline_left > duration::zero() &&
                    request.deadline_left < part(work, min_deadline_fraction);
    if (request.retry && shortage.has_objective(request.priority) && request.objective_left < work)
    {
        // The response will be late: the request takes only what is free at once, and leaves slots
        // to those that can still be on time.
        terms.rank = std::min(terms.rank + 1, service_shortage::max_rank);
        terms.probing_time = duration::zero();
    }
    else if (request.objective_left > duration::zero())
    {
        terms.probing_time = std::clamp(
            request.objective_left - part(work, work_margin),
            part(request.objective_left, min_probing_fraction),
            part(request.objective_left, max_probing_fraction));
    }
    if (terms.rank > 0)
    {
        terms.min_probe_interval = terms.probing_time.value_or(duration::zero()) / max_passes;
    }
    return terms;
}

std::uint32_t shortage_policy::reserve(
    const admission_request& request,
    const shortage_terms& terms,
    std::uint32_t slots,
    time_point now) const
{
    const auto found = services_.find(request.service);
    return found == services_.end() || slots < options_.min_slots
               ? 0
               : found->second.shortage.reserve(request.priority, terms.rank, slots, now);
}

void shortage_policy::record_pass(const std::string& service, bool found, time_point now)
{
    const auto known = services_.find(service);
    if (known != services_.end())
    {
        known->second.shortage.record_pass(found, now);
    }
}

void shortage_policy::record_decision(
    const admission_request& request, const shortage_terms& terms, bool granted, time_point now)
{
    const auto found = services_.find(request.service);
    if (found != services_.end() && !request.retry)
    {
        found->second.shortage.record_decision(request.priority, terms.excess, granted, now);
        organisations_.record_decision(request.organisation, granted, now);
    }
}

void shortage_policy::record_work(
    const std::string& service, std::uint32_t priority, duration work, bool nearly_full)
{
    const auto found = services_.find(service);
    if (found != services_.end())
    {
        found->second.shortage.record_work(priority, work, nearly_full);
    }
}

duration shortage_policy::retry_after(
    const admission_request& request, const shortage_terms& terms, duration usual, time_point now)
{
    if (!is_short(request.service, now))
    {
        return usual;
    }
    const duration after = usual + retry_after_step * terms.rank;
    if (!request.retry)
    {
        returned_.refused(return_key(request), now, after);
    }
    return after;
}

std::vector<shortage_dump> shortage_policy::dump(time_point now) const
{
    std::vector<shortage_dump> dumped;
    for (const auto& [name, covered] : services_)
    {
        dumped.push_back(covered.shortage.dump(name, covered.slots, now));
    }
    return dumped;
}

} // namespace catkintally::core
