#include <catkintally/entry/process/overflow_report.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <sstream>

namespace catkintally::entry
{

namespace
{

/// What is known of the overflow of a service; zeros if there is none.
core::domain_overflow_dump
find_overflow(const core::probing_gateway& gateway, const std::string& service)
{
    for (core::domain_overflow_dump& each : gateway.overflows())
    {
        if (each.service == service)
        {
            return std::move(each);
        }
    }
    return {};
}

/// "DOMAIN:usable" of each domain, the own one first.
std::string domains_text(const core::domain_overflow_dump& overflow)
{
    std::ostringstream out;
    for (const auto& each : overflow.domains)
    {
        out << (out.tellp() > 0 ? "," : "") << each.name << ':' << each.usable;
    }
    return out.str();
}

} // namespace

core::overflow_settings overflow_settings_of(const runtime::settings& values)
{
    return {
        .enabled = values.overflow.mode == runtime::overflow_mode::auto_,
        .hop_cost_ms = values.overflow.hop_cost_ms,
        .kilobyte_cost_ms = values.overflow.kilobyte_cost_ms,
        .min_slots = static_cast<std::uint32_t>(values.overflow.min_slots)};
}

boost::json::value to_json(const std::vector<core::domain_overflow_dump>& overflows)
{
    boost::json::array dumped;
    for (const core::domain_overflow_dump& each : overflows)
    {
        boost::json::array domains;
        for (const auto& domain : each.domains)
        {
            domains.push_back(boost::json::object{
                {"domain", domain.name},
                {"usable", domain.usable},
                {"fast", domain.fast},
                {"recent_probes", domain.probes}});
        }
        dumped.push_back(boost::json::object{
            {"service", each.service},
            {"active", each.active},
            {"fraction", each.fraction},
            {"home_cost_ms", each.home_cost_ms},
            {"remote_cost_ms", each.remote_cost_ms},
            {"probes", each.probes},
            {"requests", each.requests},
            {"domains", std::move(domains)}});
    }
    return dumped;
}

void log_overflow_change(
    const core::probing_gateway& gateway, const std::string& service, bool active)
{
    const core::domain_overflow_dump overflow = find_overflow(gateway, service);
    runtime::log_event(
        active ? runtime::event_id::overflow_started : runtime::event_id::overflow_ended,
        {{"service", service},
         {"fraction", std::to_string(overflow.fraction)},
         {"home_cost_ms", std::to_string(overflow.home_cost_ms)},
         {"remote_cost_ms", std::to_string(overflow.remote_cost_ms)},
         {"requests", std::to_string(overflow.requests)},
         {"usable", domains_text(overflow)}});
}

void add_overflow_metrics(
    runtime::metrics_registry& metrics,
    const core::probing_gateway& gateway,
    const core::table_snapshot& table)
{
    for (const auto& [name, config] : table.services)
    {
        const auto add = [&, service = name](const std::string& metric, auto read)
        {
            metrics.gauge(
                metric, {{"service", service}},
                [&gateway, service, read]
                { return static_cast<double>(read(find_overflow(gateway, service))); });
        };
        add("catkintally_overflow_probes", [](const auto& each) { return each.probes; });
        add("catkintally_overflow_requests", [](const auto& each) { return each.requests; });
        add("catkintally_overflow_fraction", [](const auto& each) { return each.fraction; });
    }
}

} // namespace catkintally::entry
