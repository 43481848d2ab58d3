#pragma once

#include <catkintally/core/organisations/organisation_directory.hpp>
#include <catkintally/core/table/route_row.hpp>
#include <catkintally/core/targets/target_dialect.hpp>
#include <catkintally/entry/http/http_head.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkintally::entry
{

/// Status of the response to a request without access.
inline constexpr std::uint16_t unauthorized_status = 401;

/// Why a request with these header fields has no access.
enum class key_error : std::uint8_t
{
    missing,
    /// Another scheme, or no key after it.
    malformed,
    /// Several fields, of which a target might read another one.
    repeated,
    too_long,
    /// No organisation has this key.
    unknown,
    /// No organisation has this key any more.
    withdrawn
};

/// Name used in the catkintally-reason header, in logs and as the metrics label `reason`.
[[nodiscard]] std::string_view key_error_name(key_error error);

/// Result of the check of a request.
struct caller_access
{
    /// Empty if the request has access.
    std::optional<key_error> error;
    /// Organisation of the caller; nullptr if no key is needed. Valid until the directory changes.
    const core::organisation_row* organisation = nullptr;
};

/// Reads the API key of a request and finds the organisation that owns it. Without organisations in
/// the directory, and on public routes, no key is needed and none is read.
[[nodiscard]] caller_access check_access(
    const core::organisation_directory& directory,
    const core::target_dialect& dialect,
    const core::route_row& route,
    const header_list& fields);

} // namespace catkintally::entry
