#pragma once

#include <catkintally/core/table/domain_row.hpp>
#include <catkintally/core/table/service_row.hpp>
#include <catkintally/core/table/table_error.hpp>
#include <catkintally/core/table/target_row.hpp>

#include <boost/json/value.hpp>

#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <variant>

namespace catkintally::core
{

/// Type of a column's values; each type has one rule.
enum class column_type : std::uint8_t
{
    /// 1 to 64 characters of [a-z0-9-].
    name,
    /// Empty, or a host name in lower case without port.
    host,
    /// Starts with '/', without spaces, '?' and '#'.
    path,
    /// Empty, or an HTTP header name.
    header,
    /// HTTP methods, separated by spaces in text.
    methods,
    /// IP address and port.
    address,
    /// Whole number within the column's range.
    number,
    /// HTTP statuses within the column's range, separated by spaces in text.
    statuses,
    /// One of the row type's named values.
    choice
};

/// What is particular to a row type: its name and the enumeration among its columns.
template <class Row>
struct row_traits;

template <>
struct row_traits<service_row>
{
    using choice_type = work_class;
    static constexpr std::string_view kind = "service";
    static constexpr std::pair<std::string_view, work_class> choices[] = {
        {"order", work_class::order},
        {"lookup", work_class::lookup},
        {"archive", work_class::archive}};
};

template <>
struct row_traits<domain_row>
{
    using choice_type = domain_state;
    static constexpr std::string_view kind = "domain";
    static constexpr std::pair<std::string_view, domain_state> choices[] = {
        {"in", domain_state::in}, {"out", domain_state::out}};
};

template <>
struct row_traits<target_row>
{
    using choice_type = target_admin_state;
    static constexpr std::string_view kind = "target";
    static constexpr std::pair<std::string_view, target_admin_state> choices[] = {
        {"in", target_admin_state::in}, {"draining", target_admin_state::draining}};
};

/// Member that a column reads and writes.
template <class Row>
using column_member = std::variant<
    std::string Row::*,
    std::uint32_t Row::*,
    std::uint64_t Row::*,
    std::vector<std::string> Row::*,
    std::vector<std::uint16_t> Row::*,
    typename row_traits<Row>::choice_type Row::*>;

/// Descriptor of one column. The table view, the CSV files, the stored objects and the checks are
/// all driven by these.
template <class Row>
struct column
{
    std::string_view name;
    column_member<Row> member;
    column_type type;
    /// Range of numbers and statuses.
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

/// A value that a column does not accept.
struct column_error
{
    table_error_kind kind = table_error_kind::bad_text;
    std::string reason;
};

/// Columns of a row type, in the order of display. The first one is the name.
template <class Row>
[[nodiscard]] std::span<const column<Row>> columns_of();

/// Column of that name, or null.
template <class Row>
[[nodiscard]] const column<Row>* find_column(std::string_view name)
{
    for (const auto& each : columns_of<Row>())
    {
        if (each.name == name)
        {
            return &each;
        }
    }
    return nullptr;
}

/// Value of a column as text; set_column_from_text() reads it back unchanged.
template <class Row>
[[nodiscard]] std::string column_to_text(const Row& row, const column<Row>& which);

/// Sets a column from text and checks the value.
template <class Row>
[[nodiscard]] std::optional<column_error>
set_column_from_text(Row& row, const column<Row>& which, std::string_view text);

/// Value of a column as JSON.
template <class Row>
[[nodiscard]] boost::json::value column_to_json(const Row& row, const column<Row>& which);

/// Sets a column from JSON and checks the value.
template <class Row>
[[nodiscard]] std::optional<column_error>
set_column_from_json(Row& row, const column<Row>& which, const boost::json::value& value);

/// Checks a column's present value against its type and range.
template <class Row>
[[nodiscard]] std::optional<column_error> check_column(const Row& row, const column<Row>& which);

} // namespace catkintally::core
