#pragma once

#include <catkintally/entry/http/http_head.hpp>

#include <string>
#include <string_view>

namespace catkintally::entry
{

/// Names of the product's own headers.
inline constexpr std::string_view outcome_header = "catkintally-outcome";
inline constexpr std::string_view reason_header = "catkintally-reason";
inline constexpr std::string_view request_id_header = "catkintally-request-id";
inline constexpr std::string_view load_header = "catkintally-load";

/// What a forwarded request gains.
struct forward_options
{
    std::string deadline_header;
    /// Time left in milliseconds.
    std::string deadline_left;
    std::string request_id_header = std::string(entry::request_id_header);
    std::string request_id;
    /// Header that names the target, and the target's name. Empty header: not sent; a caller's own
    /// field of that name is removed either way.
    std::string expected_target_header;
    std::string expected_target;
    /// Caller's IP address without port.
    std::string caller_address;
};

/// Fields of a request as a target gets them: hop-by-hop and framing fields removed, Via,
/// Forwarded, deadline and request id added. The client adds the framing.
[[nodiscard]] header_list
forwarded_request_fields(const header_list& received, const forward_options& options);

/// Fields of a target's response as a caller gets them. Content-Length stays only where there is
/// no body to measure (`keep_length`: HEAD and 304).
[[nodiscard]] header_list forwarded_response_fields(const header_list& received, bool keep_length);

} // namespace catkintally::entry
