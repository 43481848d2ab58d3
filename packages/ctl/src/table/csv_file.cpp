#include <catkintally/ctl/table/csv_file.hpp>

#include <boost/tokenizer.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace catkintally::ctl
{

using core::table_error_kind;

namespace
{

constexpr std::array row_kinds = {row_kind::domain, row_kind::service, row_kind::target};

std::string quoted(const std::string& value)
{
    if (value.find_first_of(",\"\\") == std::string::npos)
    {
        return value;
    }
    std::string text = "\"";
    for (const char c : value)
    {
        text += c;
        if (c == '"')
        {
            text += c;
        }
    }
    return text + '"';
}

/// Spreadsheets write a quote inside a quoted field as two quotes and leave backslashes alone.
/// Boost's separator expects both behind a backslash. Nothing if a quoted field is not closed.
std::optional<std::string> escape_for_tokenizer(const std::string& line)
{
    std::string escaped;
    bool quoted_field = false;
    for (std::size_t i = 0; i < line.size(); ++i)
    {
        if (line[i] == '\\')
        {
            escaped += "\\\\";
        }
        else if (quoted_field && line[i] == '"' && i + 1 < line.size() && line[i + 1] == '"')
        {
            escaped += "\\\"";
            ++i;
        }
        else
        {
            quoted_field = line[i] == '"' ? !quoted_field : quoted_field;
            escaped += line[i];
        }
    }
    return quoted_field ? std::nullopt : std::optional(escaped);
}

std::optional<std::vector<std::string>> split_line(const std::string& line)
{
    const auto escaped = escape_for_tokenizer(line);
    if (!escaped)
    {
        return std::nullopt;
    }
    const boost::tokenizer<boost::escaped_list_separator<char>> fields(*escaped);
    std::vector<std::string> values(fields.begin(), fields.end());
    // Spreadsheets fill short lines up with empty fields.
    while (!values.empty() && values.back().empty())
    {
        values.pop_back();
    }
    return values;
}

/// Reads one file line by line.
class csv_reader
{
public:
    void read_line(std::string line)
    {
        ++line_;
        if (line.ends_with('\r'))
        {
            line.pop_back();
        }
        if (line_ == 1 && line.starts_with("\xEF\xBB\xBF"))
        {
            line.erase(0, 3);
        }
        auto fields = split_line(line);
        if (!fields)
        {
            report(table_error_kind::malformed, "line", "", "a quoted field is not closed");
        }
        else if (fields->empty())
        {
            return;
        }
        else if (fields->front() == "table")
        {
            read_revision(*fields);
        }
        else if (fields->front() == "kind")
        {
            read_header(std::move(*fields));
        }
        else
        {
            read_row(*fields);
        }
    }

    csv_content content;

private:
    void report(table_error_kind kind, std::string row, std::string column, std::string reason)
    {
        content.errors.push_back(
            {.line = line_,
             .error = {
                 .kind = kind,
                 .row = std::move(row),
                 .column = std::move(column),
                 .reason = std::move(reason)}});
    }

    void read_revision(const std::vector<std::string>& fields)
    {
        const std::string text = fields.size() == 2 ? fields[1] : "";
        std::uint64_t revision = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
        if (text.empty() || parsed.ptr != text.data() + text.size() || content.revision)
        {
            report(
                table_error_kind::malformed, "table", "",
                "must have one line 'table,REVISION' with the revision of the export");
            return;
        }
        content.revision = revision;
    }

    void read_header(std::vector<std::string> fields)
    {
        header_ = std::move(fields);
        std::set<std::string> seen;
        for (const auto& name : header_)
        {
            const bool known =
                name == "kind" || name == "service" ||
                std::any_of(
                    row_kinds.begin(), row_kinds.end(),
                    [&](row_kind kind)
                    {
                        const auto& names = column_names(kind);
                        return std::find(names.begin(), names.end(), name) != names.end();
                    });
            if (!known || !seen.insert(name).second)
            {
                report(
                    table_error_kind::unknown_column, "header", name,
                    known ? "the column is listed twice" : "there is no such column");
            }
        }
    }

    void read_row(const std::vector<std::string>& fields)
    {
        const auto kind = std::find_if(
            row_kinds.begin(), row_kinds.end(),
            [&](row_kind each) { return to_string(each) == fields.front(); });
        if (header_.empty() || kind == row_kinds.end())
        {
            report(
                table_error_kind::malformed, "line", "kind",
                header_.empty() ? "rows must follow a header line that begins with 'kind'"
                                : '\'' + fields.front() + "' must be domain, service or target");
            return;
        }
        csv_row row{.id = {.kind = *kind}, .line = line_};
        const auto& names = column_names(*kind);
        for (std::size_t i = 1; i < std::max(fields.size(), header_.size()); ++i)
        {
            const std::string value = i < fields.size() ? fields[i] : "";
            const std::string name = i < header_.size() ? header_[i] : "";
            const bool has_column = std::find(names.begin(), names.end(), name) != names.end();
            if (*kind == row_kind::target && name == "service")
            {
                row.id.service = value;
            }
            else if (has_column)
            {
                row.columns[name] = value;
            }
            else if (!value.empty())
            {
                report(
                    table_error_kind::unknown_column, fields.front(), name,
                    "a " + fields.front() + " has no such column; the value is '" + value + '\'');
            }
        }
        row.id.name = row.columns["name"];
        add_row(std::move(row));
    }

    void add_row(csv_row row)
    {
        const auto row_name = to_string(row.id);
        if (row.id.name.empty() || (row.id.kind == row_kind::target && row.id.service.empty()))
        {
            report(
                table_error_kind::missing_column, row_name,
                row.id.name.empty() ? "name" : "service", "must not be empty");
            return;
        }
        const auto [first, added] = lines_.emplace(row.id, line_);
        if (!added)
        {
            report(
                table_error_kind::duplicate_name, row_name, "name",
                "the row is also on line " + std::to_string(first->second));
            return;
        }
        content.rows.push_back(std::move(row));
    }

    std::size_t line_ = 0;
    std::vector<std::string> header_;
    std::map<row_id, std::size_t> lines_;
};

} // namespace

std::string to_string(const csv_error& error, const std::string& file)
{
    const auto line = error.line == 0 ? "" : ':' + std::to_string(error.line);
    return file + line + ": " + to_string(error.error);
}

std::string format_csv(std::uint64_t revision, const std::vector<table_row>& rows)
{
    std::string text = "table," + std::to_string(revision) + '\n';
    for (const auto kind : row_kinds)
    {
        const bool target = kind == row_kind::target;
        text += target ? "kind,service" : "kind";
        for (const auto& name : column_names(kind))
        {
            text += ',' + name;
        }
        text += '\n';
        for (const auto& row : rows)
        {
            if (row.id.kind != kind)
            {
                continue;
            }
            text += to_string(kind);
            text += target ? ',' + quoted(row.id.service) : "";
            for (const auto& value : row.values)
            {
                text += ',' + quoted(value);
            }
            text += '\n';
        }
    }
    return text;
}

csv_content parse_csv(const std::string& text)
{
    csv_reader reader;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        const auto end = std::min(text.find('\n', begin), text.size());
        reader.read_line(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return std::move(reader.content);
}

} // namespace catkintally::ctl
