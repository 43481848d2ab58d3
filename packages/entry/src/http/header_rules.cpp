#include <catkintally/entry/http/header_rules.hpp>

#include <algorithm>
#include <array>

namespace catkintally::entry
{

namespace
{

constexpr std::string_view via_value = "1.1 catkintally";

/// Hop-by-hop fields, which concern a single connection, and the framing fields, which each hop
/// sets anew.
constexpr std::array<std::string_view, 12> hop_by_hop_fields = {
    "Connection",         "Keep-Alive",    "Proxy-Connection",    "TE",     "Trailer",
    "Transfer-Encoding",  "Upgrade",       "Proxy-Authorization", "Expect", "Content-Length",
    "Proxy-Authenticate", "HTTP2-Settings"};

bool is_hop_by_hop_field(const header_list& fields, std::string_view name)
{
    return std::any_of(
               hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
               [name](std::string_view hop_field)
               { return equals_ignore_case(hop_field, name); }) ||
           std::any_of(
               fields.begin(), fields.end(),
               [name](const auto& field)
               {
                   return equals_ignore_case(field.first, "Connection") &&
                          list_contains_token(field.second, name);
               });
}

/// True for the name of the organisation header, also if written with '_' for '-': servers that
/// pass fields on as variables (CGI) do not tell these apart.
bool is_organisation_field(std::string_view name, std::string_view organisation_header)
{
    if (organisation_header.empty() || name.size() != organisation_header.size())
    {
        return false;
    }
    std::string hyphenated(name);
    std::replace(hyphenated.begin(), hyphenated.end(), '_', '-');
    return equals_ignore_case(hyphenated, organisation_header);
}

} // namespace

header_list forwarded_request_fields(const header_list& received, const forward_options& options)
{
    header_list result;
    std::string via;
    std::string forwarded;
    for (const auto& [name, value] : received)
    {
        if (equals_ignore_case(name, "Via"))
        {
            via += via.empty() ? value : ", " + value;
        }
        else if (equals_ignore_case(name, "Forwarded"))
        {
            forwarded += forwarded.empty() ? value : ", " + value;
        }
        else if (
            !is_hop_by_hop_field(received, name) &&
            !equals_ignore_case(name, options.deadline_header) &&
            !equals_ignore_case(name, options.request_id_header) &&
            !equals_ignore_case(name, options.expected_target_header) &&
            !equals_ignore_case(name, options.api_key_header) &&
            !is_organisation_field(name, options.organisation_header))
        {
            result.emplace_back(name, value);
        }
    }
    result.emplace_back("Via", (via.empty() ? "" : via + ", ") + std::string(via_value));
    // An IPv6 address is written in brackets and quotes.
    const bool is_ipv6 = options.caller_address.find(':') != std::string::npos;
    const std::string node =
        is_ipv6 ? "\"[" + options.caller_address + "]\"" : options.caller_address;
    result.emplace_back(
        "Forwarded", (forwarded.empty() ? "" : forwarded + ", ") + "for=" + node + ";proto=http");
    result.emplace_back(options.deadline_header, options.deadline_left);
    result.emplace_back(options.request_id_header, options.request_id);
    if (!options.expected_target_header.empty())
    {
        result.emplace_back(options.expected_target_header, options.expected_target);
    }
    if (!options.organisation.empty())
    {
        result.emplace_back(options.organisation_header, options.organisation);
    }
    return result;
}

header_list forwarded_response_fields(const header_list& received, bool keep_length)
{
    header_list result;
    std::string via;
    for (const auto& [name, value] : received)
    {
        if (equals_ignore_case(name, "Via"))
        {
            via += via.empty() ? value : ", " + value;
            continue;
        }
        // Drops the load balancer's own headers: a target behind another load balancer of this kind
        // must not set them on behalf of this one.
        const bool is_own_header =
            equals_ignore_case(name, outcome_header) || equals_ignore_case(name, reason_header) ||
            equals_ignore_case(name, request_id_header) || equals_ignore_case(name, load_header) ||
            equals_ignore_case(name, limit_header);
        const bool is_kept_length = keep_length && equals_ignore_case(name, "Content-Length");
        if (is_kept_length || (!is_own_header && !is_hop_by_hop_field(received, name)))
        {
            result.emplace_back(name, value);
        }
    }
    result.emplace_back("Via", (via.empty() ? "" : via + ", ") + std::string(via_value));
    return result;
}

} // namespace catkintally::entry
