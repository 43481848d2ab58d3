#pragma once

#include <catkintally/core/limits/demand_report.hpp>
#include <catkintally/core/limits/target_limit.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <span>

namespace catkintally::entry
{

/// Message with rate limits of targets.
[[nodiscard]] wire::payloadUnion to_message(std::span<const core::target_limit> limits);

/// Message with demand reports.
[[nodiscard]] wire::payloadUnion to_message(std::span<const core::demand_report> reports);

/// Rate limit in a received message; its rate may be invalid.
[[nodiscard]] core::target_limit to_limit(const wire::target_limit_data& data);

} // namespace catkintally::entry
