#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/http/http_head.hpp>

#include <optional>

namespace catkintally::entry
{

/// Time in the Retry-After field of a response, in seconds with or without a fraction; at most
/// `max_retry_after`. Nullopt if there is none, or if it is a date or malformed.
[[nodiscard]] std::optional<core::duration> parse_retry_after(const header_list& fields);

/// Longest time that is passed on to a caller.
inline constexpr core::duration max_retry_after = std::chrono::seconds(30);

} // namespace catkintally::entry
