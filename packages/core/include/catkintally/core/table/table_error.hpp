#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace catkintally::core
{

/// Why a row or an object of the table is refused.
enum class table_error_kind : std::uint8_t
{
    /// The stored object is not JSON of the expected shape.
    malformed,
    missing_column,
    unknown_column,
    wrong_type,
    out_of_range,
    bad_text,
    bad_address,
    duplicate_name,
    /// Two services have the same host and path prefix.
    overlapping_route,
    /// One address stands for two targets.
    duplicate_address,
    unknown_failure_domain,
    unknown_service,
    /// The object would be larger than the store accepts.
    too_large
};

/// Name of a kind in logs and messages.
[[nodiscard]] std::string_view to_string(table_error_kind kind);

/// One finding in the table.
struct table_error
{
    table_error_kind kind = table_error_kind::malformed;
    /// Row, for example "service paper-stock" or "target paper-stock/paper-1".
    std::string row{};
    /// Column; empty if the finding concerns the whole row.
    std::string column{};
    /// Full explanation without row and column.
    std::string reason{};

    bool operator==(const table_error&) const = default;
};

/// One line: row, column, kind and reason.
[[nodiscard]] std::string to_string(const table_error& error);

} // namespace catkintally::core
