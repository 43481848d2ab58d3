#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace catkintally::entry
{

/// Why a caller's request is refused before any target is chosen.
enum class request_fault : std::uint8_t
{
    malformed,
    head_too_large,
    body_too_large,
    /// The instance has no memory for the body now.
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
    no_service
};

/// HTTP status of the refusal.
[[nodiscard]] std::uint16_t fault_status(request_fault fault);

/// Name in the catkintally-reason header and the metrics.
[[nodiscard]] std::string_view fault_name(request_fault fault);

/// Result of the check of a request head.
struct request_verdict
{
    /// Nothing if the head is valid.
    std::optional<request_fault> fault;
    /// The body is chunked.
    bool chunked = false;
};

/// Checks the head of a request as received. The library behind the front accepts several of these
/// heads and would read the body, or the next request, at the wrong place.
[[nodiscard]] request_verdict
check_request_head(std::string_view text, std::uint64_t max_body_bytes);

/// True for a path with "." or ".." segments, plain or percent-encoded. Such a path would be routed
/// by one prefix and served under another.
[[nodiscard]] bool has_dot_segments(std::string_view path);

} // namespace catkintally::entry
