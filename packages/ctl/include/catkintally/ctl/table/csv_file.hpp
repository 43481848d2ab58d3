#pragma once

#include <catkintally/core/table/table_error.hpp>
#include <catkintally/ctl/table/table_row.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::ctl
{

/// One finding in a CSV file.
struct csv_error
{
    /// Line number, from 1; 0 if the row is not in the file.
    std::size_t line = 0;
    core::table_error error{};
};

/// "FILE:LINE: row, column: kind: reason".
[[nodiscard]] std::string to_string(const csv_error& error, const std::string& file);

/// One row of a CSV file; columns that the file does not have are absent.
struct csv_row
{
    row_id id{};
    std::map<std::string, std::string> columns{};
    std::size_t line = 0;
};

/// Content of a CSV file.
struct csv_content
{
    /// Revision of the table when it was exported; absent in files written by hand.
    std::optional<std::uint64_t> revision{};
    std::vector<csv_row> rows{};
    std::vector<csv_error> errors{};
};

/// Writes the table as CSV: a line "table,REVISION", then for each kind of row a header line that
/// begins with "kind" and the rows.
[[nodiscard]] std::string format_csv(std::uint64_t revision, const std::vector<table_row>& rows);

/// Reads CSV text. A header line holds for the rows that follow it. Finds malformed lines, unknown
/// kinds and columns, and rows that are listed twice; the values are not checked.
[[nodiscard]] csv_content parse_csv(const std::string& text);

} // namespace catkintally::ctl
