#pragma once

#include <catkintally/ctl/table/csv_file.hpp>
#include <catkintally/ctl/table/table_document.hpp>

namespace catkintally::ctl
{

/// What a CSV file wants to change.
struct table_diff
{
    std::vector<table_edit> edits{};
    /// Values that differ although the table has changed since the export, so that the file may
    /// be out of date there.
    std::vector<edit_conflict> conflicts{};
    std::vector<csv_error> errors{};
};

/// Compares a file with the table. Rows and columns that the file does not have stay as they are;
/// with `prune`, rows that the file does not have are removed. `errors` holds every finding in the
/// rows and in the table as it would be afterwards, with the line it comes from.
[[nodiscard]] table_diff
compare(const csv_content& file, const table_document& document, bool prune);

} // namespace catkintally::ctl
