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

/// Type of a column's values. Each type has one validation rule.
enum class column_type : std::uint8_t
{
    /// 1 to 64 characters of [a-z0-9-].
    name,
    /// Empty, or a lower-case host name without port, at most 253 characters.
    host,
    /// Starts with '/', at most 1024 ASCII characters; no spaces, control characters, '?' or '#'.
    path,
    /// Empty, or an HTTP header name of at most 64 characters.
    header,
    /// Distinct HTTP methods in upper case, separated by spaces in text.
    methods,
    /// IP address and port.
    address,
    /// Whole number within the column's range.
    number,
    /// Distinct HTTP statuses within the column's range, separated by spaces in text.
    statuses,
    /// One of the row type's named values.
    choice
};

/// Properties of a row type: its name in messages and the enumeration that its column of type
/// `choice` uses, with the text of each value.
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

/// Pointer to the row member that holds a column's value.
template <class Row>
using column_member = std::variant<
    std::string Row::*,
    std::uint32_t Row::*,
    std::uint64_t Row::*,
    std::vector<std::string> Row::*,
    std::vector<std::uint16_t> Row::*,
    typename row_traits<Row>::choice_type Row::*>;

/// Descriptor of one column. The displayed table, the CSV files, the stored objects and the
/// validation are all driven by these descriptors.
template <class Row>
struct column
{
    std::string_view name;
    column_member<Row> member;
    column_type type;
    /// Inclusive range, for numbers and statuses only.
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

/// Reason why a column does not accept a value.
struct column_error
{
    table_error_kind kind = table_error_kind::bad_text;
    std::string reason;
};

/// Columns of a row type in display order. The first one is the name.
template <class Row>
[[nodiscard]] std::span<const column<Row>> columns_of();

/// Returns the column with this name, or nullptr.
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

/// Formats a column's value as text. set_column_from_text() parses it back to the same value.
template <class Row>
[[nodiscard]] std::string column_to_text(const Row& row, const column<Row>& descriptor);

/// Parses text into a column and validates the value. Returns the error, if any; the row may have
/// been modified nevertheless.
template <class Row>
[[nodiscard]] std::optional<column_error>
set_column_from_text(Row& row, const column<Row>& descriptor, std::string_view text);

/// Converts a column's value to JSON.
template <class Row>
[[nodiscard]] boost::json::value column_to_json(const Row& row, const column<Row>& descriptor);

/// Reads JSON into a column and validates the value. Returns the error, if any; the row may have
/// been modified nevertheless.
template <class Row>
[[nodiscard]] std::optional<column_error>
set_column_from_json(Row& row, const column<Row>& descriptor, const boost::json::value& value);

/// Validates a column's current value against its type and range.
template <class Row>
[[nodiscard]] std::optional<column_error>
check_column(const Row& row, const column<Row>& descriptor);

} // namespace catkintally::core
