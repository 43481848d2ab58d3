#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace catkintally::core
{

/// Reason why a row or an object of the table is rejected.
enum class table_error_kind : std::uint8_t
{
    /// The stored object is not JSON of the expected shape.
    malformed,
    missing_column,
    unknown_column,
    wrong_type,
    out_of_range,
    /// Text that breaks the rule of its column type, or a list with a duplicate value.
    bad_text,
    bad_address,
    duplicate_name,
    /// Two services have the same host and path prefix.
    overlapping_route,
    /// Two targets have the same address.
    duplicate_address,
    unknown_failure_domain,
    unknown_service,
    /// The object would be larger than the store accepts.
    too_large
};

/// Returns the name of a kind as used in logs and messages.
[[nodiscard]] std::string_view to_string(table_error_kind kind);

/// One validation error in the table.
struct table_error
{
    table_error_kind kind = table_error_kind::malformed;
    /// Name of the row, for example "service paper-stock" or "target paper-stock/paper-1".
    std::string row{};
    /// Name of the column; empty if the error concerns the whole row.
    std::string column{};
    /// Explanation, without the names of row and column.
    std::string reason{};

    bool operator==(const table_error&) const = default;
};

/// Formats an error as one line: row, column, kind and reason.
[[nodiscard]] std::string to_string(const table_error& error);

} // namespace catkintally::core
