#pragma once

#include <catkintally/core/limits/target_limit.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <span>

namespace catkintally::entry
{

/// Message with rate limits of targets.
[[nodiscard]] wire::payloadUnion to_message(std::span<const core::target_limit> limits);

/// Rate limit in a received message; its rate may be invalid.
[[nodiscard]] core::target_limit to_limit(const wire::target_limit_data& data);

} // namespace catkintally::entry
