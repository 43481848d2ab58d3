#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace catkintally::ctl
{

/// Kinds of rows in the operators' table.
enum class row_kind : std::uint8_t
{
    domain,
    service,
    target
};

/// Name of a kind in commands and files.
[[nodiscard]] std::string_view to_string(row_kind kind);

/// Names of a kind's columns, in the order of display; the first one is "name".
[[nodiscard]] const std::vector<std::string>& column_names(row_kind kind);

/// Identifies one row.
struct row_id
{
    row_kind kind = row_kind::service;
    /// Service of a target; empty for other kinds.
    std::string service{};
    std::string name{};

    bool operator==(const row_id&) const = default;

    bool operator<(const row_id& other) const
    {
        return std::tie(kind, service, name) < std::tie(other.kind, other.service, other.name);
    }
};

/// How the row is named in messages, for example "target stock/t1".
[[nodiscard]] std::string to_string(const row_id& id);

/// One row as text, as operators see it.
struct table_row
{
    row_id id;
    /// One value for each of column_names().
    std::vector<std::string> values{};

    bool operator==(const table_row&) const = default;
};

} // namespace catkintally::ctl
