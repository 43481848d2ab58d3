#include <catkintally/ctl/command/table_commands.hpp>

#include <algorithm>

namespace catkintally::ctl
{

namespace json = boost::json;

namespace
{

json::object json_of(const table_row& row)
{
    json::object object;
    if (row.id.kind == row_kind::target)
    {
        object["service"] = row.id.service;
    }
    const auto& names = column_names(row.id.kind);
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        object[names[i]] = row.values[i];
    }
    return object;
}

json::object json_of(const core::table_error& error)
{
    return {
        {"kind", std::string(to_string(error.kind))},
        {"row", error.row},
        {"column", error.column},
        {"reason", error.reason}};
}

json::object json_of(const table_edit& edit)
{
    constexpr const char* names[] = {"add", "change", "remove"};
    return {
        {"edit", names[static_cast<std::size_t>(edit.kind)]},
        {"row", to_string(edit.row)},
        {"column", edit.column},
        {"seen", edit.seen},
        {"wanted", edit.wanted}};
}

json::object json_of(const edit_conflict& conflict)
{
    return {
        {"row", to_string(conflict.row)},
        {"column", conflict.column},
        {"seen", conflict.seen},
        {"wanted", conflict.wanted},
        {"found", conflict.found}};
}

json::object json_of(const written_object& object)
{
    return {{"key", object.key}, {"version", object.version}, {"answer_lost", object.answer_lost}};
}

template <class Item>
json::array json_list(const std::vector<Item>& items)
{
    json::array list;
    for (const auto& each : items)
    {
        list.push_back(json_of(each));
    }
    return list;
}

exit_code code_of(const write_report& report)
{
    switch (report.outcome)
    {
    case write_outcome::written:
        return report.findings_afterwards.empty() ? exit_code::done : exit_code::stored_but_refused;
    case write_outcome::invalid:
        return exit_code::invalid;
    case write_outcome::conflict:
        return exit_code::conflict;
    case write_outcome::unavailable:
        return exit_code::unavailable;
    default:
        return exit_code::unknown;
    }
}

std::optional<row_id> parse_row(const std::string& kind, const std::string& name)
{
    if (kind == to_string(row_kind::target))
    {
        const auto slash = name.find('/');
        if (slash == std::string::npos)
        {
            return std::nullopt;
        }
        return row_id{
            .kind = row_kind::target,
            .service = name.substr(0, slash),
            .name = name.substr(slash + 1)};
    }
    for (const auto each : {row_kind::domain, row_kind::service})
    {
        if (kind == to_string(each))
        {
            return row_id{.kind = each, .name = name};
        }
    }
    return std::nullopt;
}

} // namespace

exit_code table_commands::fail(exit_code code, const std::string& message)
{
    console_.err << "catkintallyctl: " << message << '\n';
    if (console_.json)
    {
        console_.out << json::serialize(json::object{{"error", message}}) << '\n';
    }
    return code;
}

exit_code table_commands::fail(const std::vector<core::table_error>& errors)
{
    for (const auto& each : errors)
    {
        console_.err << "catkintallyctl: " << to_string(each) << '\n';
    }
    if (console_.json)
    {
        console_.out << json::serialize(json::object{{"errors", json_list(errors)}}) << '\n';
    }
    return exit_code::invalid;
}

std::optional<table_document> table_commands::load(exit_code& failure)
{
    std::vector<core::table_error> errors;
    auto document = writer_.load(errors);
    if (!document)
    {
        failure = fail(exit_code::unavailable, "the platform's API does not answer");
        return std::nullopt;
    }
    if (!errors.empty())
    {
        failure = fail(errors);
        return std::nullopt;
    }
    return document;
}

exit_code table_commands::table()
{
    exit_code failure = exit_code::done;
    const auto document = load(failure);
    if (!document)
    {
        return failure;
    }
    const auto rows = document->rows();
    json::object printed{{"revision", document->revision()}};
    if (!console_.json)
    {
        console_.out << "revision " << document->revision() << '\n';
    }
    for (const auto kind : {row_kind::domain, row_kind::service, row_kind::target})
    {
        std::vector<std::vector<std::string>> lines(1, {std::string(to_string(kind))});
        lines[0].insert(lines[0].end(), column_names(kind).begin(), column_names(kind).end());
        auto& list = printed[std::string(to_string(kind)) + 's'].emplace_array();
        for (const auto& row : rows)
        {
            if (row.id.kind != kind)
            {
                continue;
            }
            list.push_back(json_of(row));
            // The first cell groups targets by their service.
            lines.push_back({row.id.service});
            for (const auto& value : row.values)
            {
                lines.back().push_back(value.empty() ? "-" : value);
            }
        }
        console_.out << (console_.json ? "" : '\n' + align(lines));
    }
    console_.out << (console_.json ? json::serialize(printed) + '\n' : "");
    return exit_code::done;
}

exit_code table_commands::export_csv(std::string& csv)
{
    exit_code failure = exit_code::done;
    const auto document = load(failure);
    if (!document)
    {
        return failure;
    }
    csv = format_csv(document->revision(), document->rows());
    return exit_code::done;
}

exit_code table_commands::apply(
    const std::string& file_name, const std::string& csv, bool dry_run, bool prune)
{
    exit_code failure = exit_code::done;
    const auto document = load(failure);
    if (!document)
    {
        return failure;
    }
    const auto diff = compare(parse_csv(csv), *document, prune);
    json::object printed{
        {"changes", json_list(diff.edits)}, {"conflicts", json_list(diff.conflicts)}};
    if (!console_.json)
    {
        for (const auto& edit : diff.edits)
        {
            console_.out << to_string(edit) << '\n';
        }
        console_.out << diff.edits.size() << " changes to revision " << document->revision()
                     << '\n';
    }
    auto& errors = printed["errors"].emplace_array();
    for (const auto& error : diff.errors)
    {
        console_.err << to_string(error, file_name) << '\n';
        auto entry = json_of(error.error);
        entry["line"] = error.line;
        errors.push_back(std::move(entry));
    }
    for (const auto& conflict : diff.conflicts)
    {
        console_.err << file_name << ": conflict: " << to_string(conflict) << '\n';
    }
    if (!diff.conflicts.empty())
    {
        console_.err << file_name << ": the table has changed since the export: export it again\n";
    }
    const bool stop = dry_run || !diff.errors.empty() || !diff.conflicts.empty();
    if (!stop && !diff.edits.empty())
    {
        return write(diff.edits);
    }
    console_.out << (console_.json ? json::serialize(printed) + '\n' : "");
    return !diff.errors.empty()      ? exit_code::invalid
           : !diff.conflicts.empty() ? exit_code::conflict
                                     : exit_code::done;
}

exit_code table_commands::set(
    const std::string& kind,
    const std::string& name,
    const std::vector<std::string>& assignments,
    bool create)
{
    const auto row = parse_row(kind, name);
    if (!row)
    {
        return fail(
            exit_code::usage,
            "give 'domain NAME', 'service NAME' or 'target SERVICE/NAME' as the row");
    }
    exit_code failure = exit_code::done;
    auto document = load(failure);
    if (!document)
    {
        return failure;
    }
    const auto present = document->find(*row);
    if (!present && !create)
    {
        return fail(
            exit_code::not_found, "there is no " + to_string(*row) + "; --create would add it");
    }
    const auto& names = column_names(row->kind);
    table_row wanted{.id = *row, .values = present ? present->values : default_values(row->kind)};
    wanted.values[0] = row->name;
    for (const auto& assignment : assignments)
    {
        const auto equals = assignment.find('=');
        const auto column = std::find(names.begin(), names.end(), assignment.substr(0, equals));
        if (equals == std::string::npos || column == names.end() || column == names.begin())
        {
            return fail(
                exit_code::usage,
                '\'' + assignment + "' must be COLUMN=VALUE with a column other than the name");
        }
        wanted.values[static_cast<std::size_t>(column - names.begin())] =
            assignment.substr(equals + 1);
    }
    if (const auto errors = check_row(wanted); !errors.empty())
    {
        return fail(errors);
    }
    std::vector<table_edit> edits;
    if (!present)
    {
        edits.push_back({.kind = edit_kind::add, .row = *row, .values = wanted.values});
    }
    for (std::size_t i = 0; present && i < names.size(); ++i)
    {
        if (wanted.values[i] != present->values[i])
        {
            edits.push_back(
                {.row = *row,
                 .column = names[i],
                 .seen = present->values[i],
                 .wanted = wanted.values[i]});
        }
    }
    return write(edits);
}

exit_code table_commands::set_state(const row_id& row, const std::string& state)
{
    const auto name = row.kind == row_kind::target ? row.service + '/' + row.name : row.name;
    return set(std::string(to_string(row.kind)), name, {"state=" + state}, false);
}

exit_code table_commands::write(const std::vector<table_edit>& edits)
{
    return print(edits, writer_.write(edits));
}

exit_code table_commands::print(const std::vector<table_edit>& edits, const write_report& report)
{
    for (const auto& each : report.errors)
    {
        console_.err << "catkintallyctl: " << to_string(each) << '\n';
    }
    for (const auto& each : report.conflicts)
    {
        console_.err << "catkintallyctl: conflict: " << to_string(each) << '\n';
    }
    for (const auto& each : report.findings_afterwards)
    {
        console_.err << "catkintallyctl: instances do not take this revision: " << to_string(each)
                     << '\n';
    }
    for (const auto& each : report.written)
    {
        if (each.answer_lost)
        {
            console_.err << "catkintallyctl: the answer to the write of " << each.key
                         << " was lost; its change id shows that it took effect\n";
        }
    }
    if (report.outcome == write_outcome::unknown)
    {
        console_.err << "catkintallyctl: it is not known whether the write of "
                     << report.not_written.front() << " took effect\n";
    }
    else if (report.outcome == write_outcome::unavailable)
    {
        console_.err << "catkintallyctl: the platform's API does not take the write\n";
    }
    if (console_.json)
    {
        print_json(edits, report);
        return code_of(report);
    }
    for (const auto& each : report.written)
    {
        console_.out << "written " << each.key << " version " << each.version << '\n';
    }
    for (const auto& each : report.not_written)
    {
        console_.out << "not written " << each << '\n';
    }
    if (report.outcome == write_outcome::written)
    {
        console_.out << (report.written.empty() ? "no change; revision " : "revision ")
                     << report.revision << '\n';
    }
    return code_of(report);
}

void table_commands::print_json(const std::vector<table_edit>& edits, const write_report& report)
{
    json::array not_written;
    for (const auto& each : report.not_written)
    {
        not_written.emplace_back(each);
    }
    console_.out << json::serialize(json::object{
                        {"outcome", std::string(to_string(report.outcome))},
                        {"changes", json_list(edits)},
                        {"written", json_list(report.written)},
                        {"not_written", std::move(not_written)},
                        {"conflicts", json_list(report.conflicts)},
                        {"errors", json_list(report.errors)},
                        {"findings_afterwards", json_list(report.findings_afterwards)},
                        {"revision", report.revision}})
                 << '\n';
}

} // namespace catkintally::ctl
