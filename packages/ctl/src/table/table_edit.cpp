#include <catkintally/ctl/table/table_edit.hpp>

#include <algorithm>

namespace catkintally::ctl
{

namespace
{

std::string joined(const row_id& row, const std::vector<std::string>& values)
{
    const auto& names = column_names(row.kind);
    std::string text;
    for (std::size_t i = 1; i < values.size(); ++i)
    {
        text += ' ' + names[i] + "='" + values[i] + '\'';
    }
    return text;
}

} // namespace

std::string to_string(const table_edit& edit)
{
    switch (edit.kind)
    {
    case edit_kind::add:
        return to_string(edit.row) + ": added:" + joined(edit.row, edit.values);
    case edit_kind::remove:
        return to_string(edit.row) + ": removed";
    default:
        return to_string(edit.row) + ": " + edit.column + ": '" + edit.seen + "' -> '" +
               edit.wanted + '\'';
    }
}

void put_in_order(std::vector<table_edit>& edits)
{
    const auto rank = [](const table_edit& edit)
    {
        constexpr int kinds = 3;
        const auto kind = static_cast<int>(edit.row.kind);
        return edit.kind == edit_kind::add      ? kind
               : edit.kind == edit_kind::change ? kinds
                                                : 2 * kinds - kind;
    };
    std::stable_sort(
        edits.begin(), edits.end(),
        [&](const table_edit& a, const table_edit& b) { return rank(a) < rank(b); });
}

std::string to_string(const edit_conflict& conflict)
{
    return to_string(conflict.row) +
           (conflict.column.empty() ? "" : ", column " + conflict.column) + ": wanted '" +
           conflict.wanted + "' instead of '" + conflict.seen + "', but the table now has '" +
           conflict.found + '\'';
}

} // namespace catkintally::ctl
