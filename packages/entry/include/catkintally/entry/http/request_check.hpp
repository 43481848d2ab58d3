#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace catkintally::entry
{

/// Why a caller's request is refused before a target is chosen.
enum class request_error : std::uint8_t
{
    malformed,
    head_too_large,
    body_too_large,
    /// The instance's memory budget has no room for the body now.
    no_body_memory,
    conflicting_length,
    body_not_accepted,
    unknown_encoding,
    unknown_method,
    method_not_allowed,
    unknown_version,
    unknown_expectation,
    slow_caller,
    bad_deadline,
    bad_key,
    no_service,
    /// The instance stops, and the request is not complete in time.
    stopping
};

/// HTTP status code of the refusal.
[[nodiscard]] std::uint16_t request_error_status(request_error error);

/// Name used in the catkintally-reason header and as the metrics label `reason`.
[[nodiscard]] std::string_view request_error_name(request_error error);

/// Result of the check of a request head.
struct request_head_result
{
    /// Empty if the head is valid.
    std::optional<request_error> error;
    /// The body is chunked.
    bool chunked = false;
};

/// Checks the head of a request as received. The HTTP library behind the front end accepts several
/// of the heads refused here and would read the body, or the next request, from the wrong offset.
[[nodiscard]] request_head_result
check_request_head(std::string_view text, std::uint64_t max_body_bytes);

/// True for a path with "." or ".." segments, plain or percent-encoded. Such a path would be routed
/// by one prefix and served under another one.
[[nodiscard]] bool has_dot_segments(std::string_view path);

} // namespace catkintally::entry
