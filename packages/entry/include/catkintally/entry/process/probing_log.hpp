#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>

#include <optional>

namespace catkintally::entry
{

/// Logs the admission decision for a request (events 4001 and 4002).
void log_decision(const core::probing_decision& decision);

/// Logs a crash of a target (event 4005).
void log_crash(const core::target_crash& crash);

/// Logs the rate limit that a target names or withdraws (event 4006).
void log_limit_change(const core::target_limit& current, std::optional<double> previous);

} // namespace catkintally::entry
