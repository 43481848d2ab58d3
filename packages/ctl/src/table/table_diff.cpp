#include <catkintally/ctl/table/table_diff.hpp>

#include <algorithm>

namespace catkintally::ctl
{

using core::table_error_kind;

namespace
{

/// One comparison.
class comparison
{
public:
    comparison(const csv_content& file, const table_document& document)
        : file_(file)
        , document_(document)
    {
        result.errors = file.errors;
        for (auto& row : document.rows())
        {
            auto id = row.id;
            present_.emplace(std::move(id), std::move(row));
        }
    }

    void compare_rows()
    {
        for (const auto& row : file_.rows)
        {
            lines_[to_string(row.id)] = row.line;
            const auto found = present_.find(row.id);
            if (found == present_.end())
            {
                add_row(row);
            }
            else
            {
                compare_row(row, found->second);
            }
        }
    }

    void remove_rows()
    {
        if (!file_.revision)
        {
            result.errors.push_back(
                {.line = 1,
                 .error = {
                     .kind = table_error_kind::missing_column,
                     .row = "table",
                     .reason = "rows can only be removed by a file with a line 'table,REVISION'"}});
            return;
        }
        // Targets go before their services, and both before their failure domains.
        for (const auto kind : {row_kind::target, row_kind::service, row_kind::domain})
        {
            for (const auto& [id, row] : present_)
            {
                if (id.kind == kind && !lines_.contains(to_string(id)))
                {
                    remove_row(row);
                }
            }
        }
    }

    /// Checks the table as it would be afterwards.
    void check_outcome()
    {
        put_in_order(result.edits);
        auto outcome = document_;
        for (const auto& edit : result.edits)
        {
            const auto applied = outcome.apply(edit);
            if (applied.error)
            {
                report(*applied.error);
            }
        }
        if (!result.errors.empty())
        {
            return;
        }
        for (const auto& error : outcome.check())
        {
            report(error);
        }
    }

    table_diff result;

private:
    void add_row(const csv_row& row)
    {
        const auto& names = column_names(row.id.kind);
        auto values = default_values(row.id.kind);
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            const auto given = row.columns.find(names[i]);
            values[i] = given == row.columns.end() ? values[i] : given->second;
        }
        check_values({.id = row.id, .values = values}, row.line);
        // The row may have been removed since the export, but nothing of it is overwritten.
        result.edits.push_back(
            {.kind = edit_kind::add, .row = row.id, .values = std::move(values)});
    }

    void compare_row(const csv_row& row, const table_row& present)
    {
        const auto& names = column_names(row.id.kind);
        auto values = present.values;
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            const auto given = row.columns.find(names[i]);
            if (given == row.columns.end() || given->second == values[i])
            {
                continue;
            }
            if (changed_since_export(row.id))
            {
                result.conflicts.push_back(
                    {.row = row.id,
                     .column = names[i],
                     .seen = "the value of revision " + std::to_string(*file_.revision),
                     .wanted = given->second,
                     .found = values[i]});
            }
            result.edits.push_back(
                {.row = row.id, .column = names[i], .seen = values[i], .wanted = given->second});
            values[i] = given->second;
        }
        check_values({.id = row.id, .values = std::move(values)}, row.line);
    }

    void remove_row(const table_row& row)
    {
        if (changed_since_export(row.id))
        {
            result.conflicts.push_back(
                {.row = row.id,
                 .seen = "the row of revision " + std::to_string(*file_.revision),
                 .wanted = "no such row",
                 .found = "a row of revision " +
                          std::to_string(document_.version_of(table_document::key_of(row.id)))});
        }
        result.edits.push_back({.kind = edit_kind::remove, .row = row.id, .values = row.values});
    }

    [[nodiscard]] bool changed_since_export(const row_id& id) const
    {
        return file_.revision && document_.version_of(table_document::key_of(id)) > *file_.revision;
    }

    void check_values(const table_row& row, std::size_t line)
    {
        for (auto& error : check_row(row))
        {
            result.errors.push_back({.line = line, .error = std::move(error)});
        }
    }

    void report(const core::table_error& error)
    {
        const auto line = lines_.find(error.row);
        result.errors.push_back({.line = line == lines_.end() ? 0 : line->second, .error = error});
    }

    const csv_content& file_;
    const table_document& document_;
    std::map<row_id, table_row> present_;
    std::map<std::string, std::size_t> lines_;
};

} // namespace

table_diff compare(const csv_content& file, const table_document& document, bool prune)
{
    comparison comparing(file, document);
    comparing.compare_rows();
    if (prune)
    {
        comparing.remove_rows();
    }
    if (comparing.result.errors.empty())
    {
        comparing.check_outcome();
    }
    return std::move(comparing.result);
}

} // namespace catkintally::ctl
