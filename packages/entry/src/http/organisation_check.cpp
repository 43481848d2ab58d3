#include <catkintally/entry/http/organisation_check.hpp>
#include <catkintally/runtime/crypto/sha256.hpp>

namespace catkintally::entry
{

namespace
{

/// An API key as received, or why there is none.
struct received_key
{
    std::optional<key_error> error;
    std::string_view key;
};

received_key read_key(const core::target_dialect& dialect, const header_list& fields)
{
    const std::string* value = nullptr;
    for (const auto& field : fields)
    {
        if (!equals_ignore_case(field.first, dialect.api_key_header))
        {
            continue;
        }
        if (value != nullptr)
        {
            return {.error = key_error::repeated, .key = {}};
        }
        value = &field.second;
    }
    if (value == nullptr)
    {
        return {.error = key_error::missing, .key = {}};
    }
    const std::string_view text = *value;
    const std::string_view scheme = text.substr(0, text.find(' '));
    const std::string_view key = trimmed(text.substr(scheme.size()));
    if (!equals_ignore_case(scheme, dialect.api_key_scheme) || key.empty())
    {
        return {.error = key_error::malformed, .key = {}};
    }
    if (key.size() > core::max_api_key_bytes)
    {
        return {.error = key_error::too_long, .key = {}};
    }
    return {.error = std::nullopt, .key = key};
}

} // namespace

std::string_view key_error_name(key_error error)
{
    switch (error)
    {
    case key_error::missing:
        return "key_missing";
    case key_error::malformed:
        return "key_malformed";
    case key_error::repeated:
        return "key_repeated";
    case key_error::too_long:
        return "key_too_long";
    case key_error::withdrawn:
        return "key_withdrawn";
    case key_error::unknown:
        break;
    }
    return "key_unknown";
}

caller_access check_access(
    const core::organisation_directory& directory,
    const core::target_dialect& dialect,
    const core::route_row& route,
    const header_list& fields)
{
    if (!directory.requires_keys() || route.is_public)
    {
        return {};
    }
    const received_key received = read_key(dialect, fields);
    if (received.error)
    {
        return {.error = received.error, .organisation = nullptr};
    }
    const core::organisation_row* owner = directory.find(runtime::sha256(received.key));
    return {
        .error = owner == nullptr ? std::optional(key_error::unknown) : std::nullopt,
        .organisation = owner};
}

} // namespace catkintally::entry
