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
    request_fault fault;
    std::uint16_t status;
    std::string_view name;
};

constexpr auto error_entries = std::to_array<error_entry>(
    {{request_fault::malformed, 400, "malformed"},
     {request_fault::head_too_large, 431, "head_too_large"},
     {request_fault::body_too_large, 413, "body_too_large"},
     {request_fault::no_body_memory, 503, "no_body_memory"},
     {request_fault::conflicting_length, 400, "conflicting_length"},
     {request_fault::body_not_accepted, 400, "body_not_accepted"},
     {request_fault::unknown_encoding, 501, "unknown_encoding"},
     {request_fault::unknown_method, 501, "unknown_method"},
     {request_fault::method_not_allowed, 405, "method_not_allowed"},
     {request_fault::unknown_version, 505, "unknown_version"},
     {request_fault::unknown_expectation, 417, "unknown_expectation"},
     {request_fault::slow_caller, 408, "slow_caller"},
     {request_fault::bad_deadline, 400, "bad_deadline"},
     {request_fault::bad_key, 400, "bad_key"},
     {request_fault::no_service, 404, "no_service"}});

const error_entry& entry_of(request_fault fault)
{
    return *std::find_if(
        error_entries.begin(), error_entries.end(),
        [fault](const error_entry& entry) { return entry.fault == fault; });
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

request_verdict
check_framing(const header_list& fields, bool body_allowed, bool is_http_1_0, std::uint64_t limit)
{
    const body_framing framing = framing_of(fields);
    if (framing.lengths > 1 || framing.encodings > 1 ||
        (framing.lengths > 0 && (framing.encodings > 0 || !framing.length)))
    {
        return {.fault = request_fault::conflicting_length};
    }
    if (framing.encodings > 0 && (!framing.chunked || is_http_1_0))
    {
        return {.fault = request_fault::unknown_encoding};
    }
    const std::uint64_t length = framing.length.value_or(0);
    if (!body_allowed && (framing.chunked || length > 0))
    {
        // Implementations differ on whether requests with these methods have a body, so they would
        // disagree on where the request ends.
        return {.fault = request_fault::body_not_accepted};
    }
    if (length > limit)
    {
        return {.fault = request_fault::body_too_large};
    }
    return {.fault = std::nullopt, .chunked = framing.chunked};
}

/// Splits an absolute http URI into authority and path; the authority of other URIs is empty.
std::pair<std::string_view, std::string_view> split_uri(std::string_view uri)
{
    constexpr std::string_view scheme = "http://";
    if (!equal_names(uri.substr(0, scheme.size()), scheme))
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

std::uint16_t fault_status(request_fault fault)
{
    return entry_of(fault).status;
}

std::string_view fault_name(request_fault fault)
{
    return entry_of(fault).name;
}

bool has_dot_segments(std::string_view path)
{
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i)
    {
        const bool dot = equal_names(path.substr(i, 3), "%2e");
        decoded += dot ? '.' : path[i];
        i += dot ? 2 : 0;
    }
    decoded += '/';
    return decoded.find("/./") != std::string::npos || decoded.find("/../") != std::string::npos;
}

request_verdict check_request_head(std::string_view text, std::uint64_t max_body_bytes)
{
    const auto head = parse_http_head(text);
    if (!head)
    {
        return {.fault = request_fault::malformed};
    }

    // Request line: exactly method, URI and version.
    const std::string_view line = head->start_line;
    const auto first = line.find(' ');
    const auto second = first == std::string_view::npos ? first : line.find(' ', first + 1);
    if (second == std::string_view::npos)
    {
        return {.fault = request_fault::malformed};
    }
    const auto method = line.substr(0, first);
    const auto uri = line.substr(first + 1, second - first - 1);
    const auto version = line.substr(second + 1);
    if (!is_token(method) || !version.starts_with("HTTP/"))
    {
        return {.fault = request_fault::malformed};
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
    {
        return {.fault = request_fault::unknown_version};
    }
    const bool is_http_1_0 = version == "HTTP/1.0";
    if (contains(refused_methods, method))
    {
        return {.fault = request_fault::method_not_allowed};
    }
    const bool body_allowed = contains(methods_with_body, method);
    if (!body_allowed && !contains(methods_without_body, method))
    {
        return {.fault = request_fault::unknown_method};
    }
    if (!is_valid_uri(uri))
    {
        return {.fault = request_fault::malformed};
    }

    // One Host field (optional in HTTP/1.0), equal to the authority of an absolute URI; no
    // expectation other than 100-continue; unambiguous framing of the body.
    const auto authority = split_uri(uri).first;
    std::size_t host_count = 0;
    for (const auto& [name, value] : head->fields)
    {
        const bool is_host = equal_names(name, "Host");
        host_count += is_host ? 1 : 0;
        if (is_host && !authority.empty() && !equal_names(value, authority))
        {
            return {.fault = request_fault::malformed};
        }
        if (equal_names(name, "Expect") && !equal_names(value, "100-continue"))
        {
            return {.fault = request_fault::unknown_expectation};
        }
    }
    if (host_count > 1 || (host_count == 0 && !is_http_1_0))
    {
        return {.fault = request_fault::malformed};
    }
    return check_framing(head->fields, body_allowed, is_http_1_0, max_body_bytes);
}

} // namespace catkintally::entry
