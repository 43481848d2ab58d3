#pragma once

#include <catkintally/entry/http/http_head.hpp>

#include <string>
#include <string_view>

namespace catkintally::entry
{

/// Names of the header fields that the load balancer itself defines.
inline constexpr std::string_view outcome_header = "catkintally-outcome";
inline constexpr std::string_view reason_header = "catkintally-reason";
inline constexpr std::string_view request_id_header = "catkintally-request-id";
inline constexpr std::string_view load_header = "catkintally-load";
/// Requests per second that a target accepts from all instances together, as a decimal number.
inline constexpr std::string_view limit_header = "catkintally-rate-limit";

/// Values of the header fields that are added to a forwarded request.
struct forward_options
{
    std::string deadline_header;
    /// Time left in milliseconds.
    std::string deadline_left;
    std::string request_id_header = std::string(entry::request_id_header);
    std::string request_id;
    /// Header that names the target, and the target's name. Not sent if the header name is empty. A
    /// field of that name in the caller's request is always removed.
    std::string expected_target_header;
    std::string expected_target;
    /// Headers of the caller's API key and of its organisation. Fields of these names in the
    /// caller's request are removed; empty names remove nothing.
    std::string api_key_header{};
    std::string organisation_header{};
    /// Organisation of the caller, which is sent in that header; empty: not sent.
    std::string organisation{};
    /// Caller's IP address without port.
    std::string caller_address;
};

/// Header fields of a request as sent to a target: hop-by-hop and framing fields are removed; Via,
/// Forwarded, deadline and request id are added. The connection to the target adds the framing.
[[nodiscard]] header_list
forwarded_request_fields(const header_list& received, const forward_options& options);

/// Header fields of a target's response as sent to the caller. Content-Length is kept only where
/// there is no body to take the length from (`keep_length`: HEAD and 304).
[[nodiscard]] header_list forwarded_response_fields(const header_list& received, bool keep_length);

} // namespace catkintally::entry
