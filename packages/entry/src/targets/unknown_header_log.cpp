#include <catkintally/entry/targets/unknown_header_log.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace catkintally::entry
{

namespace
{

/// Fields that HTTP defines and that targets commonly send, in lower case.
constexpr auto http_names = std::to_array<std::string_view>(
    {"accept-ranges",
     "age",
     "allow",
     "cache-control",
     "connection",
     "content-range",
     "content-type",
     "content-length",
     "content-encoding",
     "content-language",
     "date",
     "etag",
     "expires",
     "keep-alive",
     "last-modified",
     "link",
     "location",
     "retry-after",
     "server",
     "set-cookie",
     "trailer",
     "vary",
     "via",
     "transfer-encoding",
     "www-authenticate"});

/// Longest value of an unknown field in the log.
constexpr std::size_t max_logged_value = 64;

std::string to_lower(std::string_view text)
{
    std::string lower(text);
    std::transform(
        lower.begin(), lower.end(), lower.begin(),
        [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return lower;
}

} // namespace

unknown_header_log::unknown_header_log(
    const std::vector<std::string>& known_names, runtime::metrics_registry& metrics)
    : known_names_(http_names.begin(), http_names.end())
    , responses_(metrics.counter("catkintally_target_unknown_header_total"))
{
    for (const std::string& name : known_names)
    {
        known_names_.insert(to_lower(name));
    }
}

void unknown_header_log::inspect(const std::string& address, const header_list& fields)
{
    bool any_unknown = false;
    for (const auto& [name, value] : fields)
    {
        std::string lower = to_lower(name);
        if (known_names_.contains(lower))
        {
            continue;
        }
        any_unknown = true;
        if (logged_names_.size() < max_names && logged_names_.insert(std::move(lower)).second)
        {
            log_event(
                runtime::event_id::target_header_unknown,
                {{"address", address},
                 {"name", name.substr(0, max_logged_value)},
                 {"value", value.substr(0, max_logged_value)}});
        }
    }
    if (any_unknown)
    {
        responses_.add();
    }
}

} // namespace catkintally::entry
