#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/request_check.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace catkintally::entry
{

namespace
{

struct error_entry
{
    request_error error;
    std::uint16_t status;
    std::string_view name;
};

constexpr auto error_entries = std::to_array<error_entry>(
    {{request_error::malformed, 400, "malformed"},
     {request_error::head_too_large, 431, "head_too_large"},
     {request_error::body_too_large, 413, "body_too_large"},
     {request_error::no_body_memory, 503, "no_body_memory"},
     {request_error::conflicting_length, 400, "conflicting_length"},
     {request_error::body_not_accepted, 400, "body_not_accepted"},
     {request_error::unknown_encoding, 501, "unknown_encoding"},
     {request_error::unknown_method, 501, "unknown_method"},
     {request_error::method_not_allowed, 405, "method_not_allowed"},
     {request_error::unknown_version, 505, "unknown_version"},
     {request_error::unknown_expectation, 417, "unknown_expectation"},
     {request_error::slow_caller, 408, "slow_caller"},
     {request_error::bad_deadline, 400, "bad_deadline"},
     {request_error::bad_key, 400, "bad_key"},
     {request_error::no_service, 404, "no_service"},
     {request_error::stopping, 503, "stopping"}});

const error_entry& entry_of(request_error error)
{
    return *std::find_if(
        error_entries.begin(), error_entries.end(),
        [error](const error_entry& entry) { return entry.error == error; });
}

template <std::size_t size>
bool contains(const std::array<std::string_view, size>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

constexpr std::array<std::string_view, 3> methods_with_body = {"POST", "PUT", "PATCH"};
constexpr std::array<std::string_view, 4> methods_without_body = {
    "GET", "HEAD", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 2> refused_methods = {"CONNECT", "TRACE"};

request_head_result
check_framing(const header_list& fields, bool body_allowed, bool is_http_1_0, std::uint64_t limit)
{
    const body_framing framing = parse_body_framing(fields);
    if (framing.content_length_count > 1 || framing.transfer_encoding_count > 1 ||
        (framing.content_length_count > 0 &&
         (framing.transfer_encoding_count > 0 || !framing.length)))
    {
        return {.error = request_error::conflicting_length};
    }
    if (framing.transfer_encoding_count > 0 && (!framing.chunked || is_http_1_0))
    {
        return {.error = request_error::unknown_encoding};
    }
    const std::uint64_t length = framing.length.value_or(0);
    if (!body_allowed && (framing.chunked || length > 0))
    {
        // Implementations differ on whether requests with these methods have a body, so they would
        // disagree on where the request ends.
        return {.error = request_error::body_not_accepted};
    }
    if (length > limit)
    {
        return {.error = request_error::body_too_large};
    }
    return {.error = std::nullopt, .chunked = framing.chunked};
}

/// Splits an absolute http URI into authority and path; the authority of other URIs is empty.
std::pair<std::string_view, std::string_view> split_uri(std::string_view uri)
{
    constexpr std::string_view scheme = "http://";
    if (!equals_ignore_case(uri.substr(0, scheme.size()), scheme))
    {
        return {{}, uri};
    }
    uri.remove_prefix(scheme.size());
    const auto end = std::min(uri.find('/'), uri.size());
    return {uri.substr(0, end), end == uri.size() ? "/" : uri.substr(end)};
}

/// True if the URI is printable ASCII without '#' or '\\' and its path is absolute and without dot
/// segments.
bool is_valid_uri(std::string_view uri)
{
    const bool printable = std::all_of(
        uri.begin(), uri.end(),
        [](unsigned char c) { return c > ' ' && c < 0x7f && c != '#' && c != '\\'; });
    if (!printable)
    {
        return false;
    }
    uri = split_uri(uri).second;
    return uri.starts_with('/') && !has_dot_segments(uri.substr(0, uri.find('?')));
}

} // namespace

std::uint16_t request_error_status(request_error error)
{
    return entry_of(error).status;
}

std::string_view request_error_name(request_error error)
{
    return entry_of(error).name;
}

bool has_dot_segments(std::string_view path)
{
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i)
    {
        const bool dot = equals_ignore_case(path.substr(i, 3), "%2e");
        decoded += dot ? '.' : path[i];
        i += dot ? 2 : 0;
    }
    decoded += '/';
    return decoded.find("/./") != std::string::npos || decoded.find("/../") != std::string::npos;
}

request_head_result check_request_head(std::string_view text, std::uint64_t max_body_bytes)
{
    const auto head = parse_http_head(text);
    if (!head)
    {
        return {.error = request_error::malformed};
    }

    // Request line: exactly method, URI and version.
    const std::string_view line = head->start_line;
    const auto first = line.find(' ');
    const auto second = first == std::string_view::npos ? first : line.find(' ', first + 1);
    if (second == std::string_view::npos)
    {
        return {.error = request_error::malformed};
    }
    const auto method = line.substr(0, first);
    const auto uri = line.substr(first + 1, second - first - 1);
    const auto version = line.substr(second + 1);
    if (!is_token(method) || !version.starts_with("HTTP/"))
    {
        return {.error = request_error::malformed};
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
    {
        return {.error = request_error::unknown_version};
    }
    const bool is_http_1_0 = version == "HTTP/1.0";
    if (contains(refused_methods, method))
    {
        return {.error = request_error::method_not_allowed};
    }
    const bool body_allowed = contains(methods_with_body, method);
    if (!body_allowed && !contains(methods_without_body, method))
    {
        return {.error = request_error::unknown_method};
    }
    if (!is_valid_uri(uri))
    {
        return {.error = request_error::malformed};
    }

    // One Host field (optional in HTTP/1.0), equal to the authority of an absolute URI; no
    // expectation other than 100-continue; unambiguous framing of the body.
    const auto authority = split_uri(uri).first;
    std::size_t host_count = 0;
    for (const auto& [name, value] : head->fields)
    {
        const bool is_host = equals_ignore_case(name, "Host");
        host_count += is_host ? 1 : 0;
        if (is_host && !authority.empty() && !equals_ignore_case(value, authority))
        {
            return {.error = request_error::malformed};
        }
        if (equals_ignore_case(name, "Expect") && !equals_ignore_case(value, "100-continue"))
        {
            return {.error = request_error::unknown_expectation};
        }
    }
    if (host_count > 1 || (host_count == 0 && !is_http_1_0))
    {
        return {.error = request_error::malformed};
    }
    return check_framing(head->fields, body_allowed, is_http_1_0, max_body_bytes);
}

} // namespace catkintally::entry
