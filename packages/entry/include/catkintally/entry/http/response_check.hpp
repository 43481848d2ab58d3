#pragma once

#include <cstdint>
#include <string_view>

namespace catkintally::entry
{

/// Result of the check of a response head.
enum class response_head_result : std::uint8_t
{
    /// A final (not 1xx) head; the end of the body is known.
    final_head,
    /// A final head of a response with a chunked body.
    final_chunked,
    /// An interim (1xx) head, to be discarded.
    interim,
    malformed,
    /// More than one Content-Length, or one that is not a number.
    conflicting_length,
    /// Content-Length together with Transfer-Encoding.
    length_with_encoding,
    unknown_encoding,
    /// The body would end with the connection, which can't be told from a truncated body.
    close_delimited,
    /// A 101 (Switching Protocols), which was not requested.
    unexpected_upgrade
};

/// Name used in log events.
[[nodiscard]] std::string_view response_head_result_name(response_head_result result);

/// Checks the head of a response; `head_request` is true if the request was a HEAD.
[[nodiscard]] response_head_result check_response_head(std::string_view text, bool head_request);

} // namespace catkintally::entry
