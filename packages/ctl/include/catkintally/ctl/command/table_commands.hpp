#pragma once

#include <catkintally/ctl/command/console.hpp>
#include <catkintally/ctl/command/exit_code.hpp>
#include <catkintally/ctl/table/table_diff.hpp>
#include <catkintally/ctl/table/table_writer.hpp>

#include <string>
#include <vector>

namespace catkintally::ctl
{

/// The commands that show and edit the table.
class table_commands
{
public:
    table_commands(store_calls calls, console console)
        : writer_(std::move(calls))
        , console_(console)
    {
    }

    /// Prints the table, aligned.
    exit_code table();

    /// Puts the table as CSV into `csv`.
    exit_code export_csv(std::string& csv);

    /// Shows what the file changes, then writes it unless `dry_run`. `prune` also removes rows
    /// that the file does not have.
    exit_code apply(const std::string& file_name, const std::string& csv, bool dry_run, bool prune);

    /// Sets columns of one row, given as "column=value". The name of a target is SERVICE/TARGET.
    /// A row that does not exist is added if `create` is set.
    exit_code
    set(const std::string& kind,
        const std::string& name,
        const std::vector<std::string>& assignments,
        bool create);

    /// Sets the state column of a failure domain or a target.
    exit_code set_state(const row_id& row, const std::string& state);

private:
    std::optional<table_document> load(exit_code& failure);
    exit_code write(const std::vector<table_edit>& edits);
    exit_code print(const std::vector<table_edit>& edits, const write_report& report);
    void print_json(const std::vector<table_edit>& edits, const write_report& report);
    exit_code fail(exit_code code, const std::string& message);
    exit_code fail(const std::vector<core::table_error>& errors);

    table_writer writer_;
    console console_;
};

} // namespace catkintally::ctl
