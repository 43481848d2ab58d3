#include <catkintally/entry/process/probing_log.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <sstream>

namespace catkintally::entry
{

using runtime::event_id;
using runtime::log_event;

namespace
{

std::string ms_text(core::duration time)
{
    std::ostringstream out;
    out << std::chrono::duration<double, std::milli>(time).count();
    return out.str();
}

/// "NAME:running/waiting/slots*slowdown@age" of each target that was asked, or what came instead.
std::string asked_text(const std::vector<core::probed_target>& asked)
{
    std::ostringstream out;
    for (const core::probed_target& each : asked)
    {
        out << (out.tellp() > 0 ? "," : "") << each.name << ':';
        if (!each.report.answered)
        {
            out << (each.pending ? "pending" : "silent");
            continue;
        }
        if (each.report.load)
        {
            const core::load_report& load = *each.report.load;
            out << load.running << '/' << load.queued << '/' << load.slots << '*' << load.slowdown;
        }
        out << (each.report.healthy ? "" : "!unhealthy")
            << (each.report.warmup_remaining > core::duration::zero() ? "!cold" : "") << '@'
            << ms_text(each.round_trip);
    }
    return out.str();
}

/// "NAME:limit/share" of each limited target, the first ones only.
std::string limits_text(const std::vector<core::target_limit_dump>& limits)
{
    constexpr std::size_t max_logged = 16;
    std::ostringstream out;
    for (std::size_t index = 0; index < std::min(limits.size(), max_logged); ++index)
    {
        const core::target_limit_dump& each = limits[index];
        out << (index > 0 ? "," : "") << each.target << ':' << each.per_second << '/'
            << each.share.per_second;
    }
    return out.str();
}

/// Rank of a request that was decided while its service was short of slots.
std::string rank_text(const core::shortage_terms& terms)
{
    return terms.short_of_slots ? std::to_string(terms.rank) + (terms.excess ? "/excess" : "") : "";
}

std::string rate_text(const std::optional<double>& per_second)
{
    std::ostringstream out;
    per_second ? out << *per_second : out << "none";
    return out.str();
}

} // namespace

void log_decision(const core::probing_decision& decision)
{
    const bool granted = decision.code == core::decision_code::granted;
    log_event(
        granted ? event_id::target_chosen : event_id::no_target_chosen,
        {{"request", decision.trace_id},
         {"service", decision.service},
         {"code", wire::EnumNamedecision_code(decision.code)},
         {"target", decision.target},
         {"rank", rank_text(decision.shortage)},
         {"took_ms", ms_text(decision.took)},
         {"table", std::to_string(decision.table_revision)},
         {"asked", asked_text(decision.asked)},
         {"limits", limits_text(decision.limits)}});
}

void log_crash(const core::target_crash& crash)
{
    log_event(
        event_id::target_crashed_with_request,
        {{"target", crash.target}, {"fingerprint", std::to_string(crash.fingerprint)}});
}

void log_limit_change(const core::target_limit& current, std::optional<double> previous)
{
    log_event(
        event_id::target_limit_changed, {{"service", current.service},
                                         {"target", current.target},
                                         {"limit", rate_text(current.per_second)},
                                         {"previous", rate_text(previous)},
                                         {"version", std::to_string(current.version)},
                                         {"read_by", current.source}});
}

} // namespace catkintally::entry
