#pragma once

#include <catkintally/ctl/table/table_row.hpp>

#include <optional>
#include <string>
#include <vector>

namespace catkintally::ctl
{

/// What an edit does to its row.
enum class edit_kind : std::uint8_t
{
    add,
    change,
    remove
};

/// One wanted change, with the state of the row that the operator has seen.
struct table_edit
{
    edit_kind kind = edit_kind::change;
    row_id row{};
    /// Column of a change.
    std::string column{};
    /// Value the operator has seen, and the value wanted, for a change.
    std::string seen{};
    std::string wanted{};
    /// New values of an added row; seen values of a removed one.
    std::vector<std::string> values{};
};

/// One line, for example "target stock/t1: state: in -> draining".
[[nodiscard]] std::string to_string(const table_edit& edit);

/// Sorts edits so that a row exists before rows that refer to it, and goes after them.
void put_in_order(std::vector<table_edit>& edits);

/// A value that another operator has changed in the meantime.
struct edit_conflict
{
    row_id row{};
    /// Column, empty if the whole row is concerned.
    std::string column{};
    std::string seen{};
    std::string wanted{};
    std::string found{};
};

/// One line that names row, column and both values.
[[nodiscard]] std::string to_string(const edit_conflict& conflict);

} // namespace catkintally::ctl
