#include <catkintally/entry/http/header_rules.hpp>

#include <algorithm>
#include <array>

namespace catkintally::entry
{

namespace
{

constexpr std::string_view via_value = "1.1 catkintally";

/// Fields that concern one connection only, and the framing, which each hop chooses anew.
constexpr std::array<std::string_view, 12> hop_fields = {
    "Connection",         "Keep-Alive",    "Proxy-Connection",    "TE",     "Trailer",
    "Transfer-Encoding",  "Upgrade",       "Proxy-Authorization", "Expect", "Content-Length",
    "Proxy-Authenticate", "HTTP2-Settings"};

bool is_hop_field(const header_list& fields, std::string_view name)
{
    return std::any_of(
               hop_fields.begin(), hop_fields.end(),
               [name](std::string_view hop) { return equal_names(hop, name); }) ||
           std::any_of(
               fields.begin(), fields.end(),
               [name](const auto& field) {
                   return equal_names(field.first, "Connection") && lists_name(field.second, name);
               });
}

} // namespace

header_list forwarded_request_fields(const header_list& received, const forward_options& options)
{
    header_list out;
    std::string via;
    std::string forwarded;
    for (const auto& [name, value] : received)
    {
        if (equal_names(name, "Via"))
        {
            via += via.empty() ? value : ", " + value;
        }
        else if (equal_names(name, "Forwarded"))
        {
            forwarded += forwarded.empty() ? value : ", " + value;
        }
        else if (
            !is_hop_field(received, name) && !equal_names(name, options.deadline_header) &&
            !equal_names(name, options.request_id_header) &&
            !equal_names(name, options.expected_target_header))
        {
            out.emplace_back(name, value);
        }
    }
    out.emplace_back("Via", (via.empty() ? "" : via + ", ") + std::string(via_value));
    // An IPv6 address stands in brackets and quotes.
    const bool v6 = options.caller_address.find(':') != std::string::npos;
    const std::string node = v6 ? "\"[" + options.caller_address + "]\"" : options.caller_address;
    out.emplace_back(
        "Forwarded", (forwarded.empty() ? "" : forwarded + ", ") + "for=" + node + ";proto=http");
    out.emplace_back(options.deadline_header, options.deadline_left);
    out.emplace_back(options.request_id_header, options.request_id);
    if (!options.expected_target_header.empty())
    {
        out.emplace_back(options.expected_target_header, options.expected_target);
    }
    return out;
}

header_list forwarded_response_fields(const header_list& received, bool keep_length)
{
    header_list out;
    std::string via;
    for (const auto& [name, value] : received)
    {
        if (equal_names(name, "Via"))
        {
            via += via.empty() ? value : ", " + value;
            continue;
        }
        // A target behind another balancer of this kind must not make claims in this one's name.
        const bool own = equal_names(name, outcome_header) || equal_names(name, reason_header) ||
                         equal_names(name, request_id_header) || equal_names(name, load_header);
        const bool length = keep_length && equal_names(name, "Content-Length");
        if (length || (!own && !is_hop_field(received, name)))
        {
            out.emplace_back(name, value);
        }
    }
    out.emplace_back("Via", (via.empty() ? "" : via + ", ") + std::string(via_value));
    return out;
}

} // namespace catkintally::entry
