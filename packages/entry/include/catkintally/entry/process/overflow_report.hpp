#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/runtime/generated/settings.generated.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace catkintally::entry
{

/// The overflow's settings for the core.
[[nodiscard]] core::overflow_settings overflow_settings_of(const runtime::settings& values);

/// Overflow of each service for the dump: the fraction, what was sent elsewhere, and what probes
/// find in each domain.
[[nodiscard]] boost::json::value to_json(const std::vector<core::domain_overflow_dump>& overflows);

/// Logs that requests of a service begin or cease to go to other domains (events 4020 and 4021).
void log_overflow_change(
    const core::probing_gateway& gateway, const std::string& service, bool active);

/// Adds the metrics of the services in the table. `gateway` must outlive `metrics`.
void add_overflow_metrics(
    runtime::metrics_registry& metrics,
    const core::probing_gateway& gateway,
    const core::table_snapshot& table);

} // namespace catkintally::entry
