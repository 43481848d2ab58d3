#pragma once

#include <cstdint>
#include <string_view>

namespace catkintally::entry
{

/// What the head of a target's response allows.
enum class response_verdict : std::uint8_t
{
    /// The final head; its body has a known end.
    final_head,
    /// The final head of a chunked response with a body.
    final_chunked,
    /// An interim 1xx head, to be dropped.
    interim,
    malformed,
    /// More than one Content-Length, or one that is not a number.
    conflicting_length,
    /// Content-Length together with Transfer-Encoding.
    length_with_encoding,
    unknown_encoding,
    /// The body would end with the connection, which looks the same as a truncated one.
    close_delimited,
    /// 101 was not asked for.
    unexpected_upgrade
};

/// Name in log events.
[[nodiscard]] std::string_view verdict_name(response_verdict verdict);

/// Checks the head of a response; `head_request` is true if the request was a HEAD.
[[nodiscard]] response_verdict check_response_head(std::string_view text, bool head_request);

} // namespace catkintally::entry
