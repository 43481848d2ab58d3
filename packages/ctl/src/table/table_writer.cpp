#include <catkintally/ctl/table/table_writer.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace catkintally::ctl
{

using core::store_status;
using core::table_error;
using core::table_error_kind;

/// Edits that one conditional update makes.
struct table_writer::object_edits
{
    std::string key;
    std::vector<table_edit> edits;
};

enum class table_writer::step_result : std::uint8_t
{
    done,
    /// Try the same write again.
    again,
    /// Another operator has changed the object: read it and apply the edits to its new state.
    rebase,
    failed
};

std::string_view to_string(write_outcome outcome)
{
    constexpr std::array<std::string_view, 5> names = {
        "written", "invalid", "conflict", "unavailable", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

std::optional<table_document> table_writer::load(std::vector<table_error>& errors)
{
    for (std::size_t attempt = 1; attempt <= max_attempts; ++attempt)
    {
        const auto listed = calls_.list(core::table_prefix);
        if (listed.status == store_status::ok)
        {
            return table_document::load(listed.objects, errors);
        }
        calls_.pause(attempt);
    }
    return std::nullopt;
}

// Failure domains are listed before targets that stand in them, and go after them.
std::vector<table_writer::object_edits>
table_writer::by_object(const std::vector<table_edit>& edits)
{
    std::vector<object_edits> steps;
    std::map<std::string, std::size_t> positions;
    for (const bool last : {false, true})
    {
        for (const auto& edit : edits)
        {
            const bool domain = edit.row.kind == row_kind::domain;
            if ((domain && edit.kind == edit_kind::remove) != last)
            {
                continue;
            }
            const auto key = table_document::key_of(edit.row);
            const auto [position, added] =
                positions.emplace(key + (last ? " last" : ""), steps.size());
            if (added)
            {
                steps.push_back({.key = key, .edits = {}});
            }
            steps[position->second].edits.push_back(edit);
        }
    }
    std::stable_partition(
        steps.begin(), steps.end(),
        [&](const auto& step)
        { return step.key == core::domains_key && step.edits.front().kind != edit_kind::remove; });
    return steps;
}

write_report table_writer::write(std::vector<table_edit> edits)
{
    report_ = {};
    put_in_order(edits);
    const auto steps = by_object(edits);
    const auto loaded = load(report_.errors);
    if (!loaded || !report_.errors.empty())
    {
        fail(loaded ? write_outcome::invalid : write_outcome::unavailable);
    }
    else
    {
        document_ = *loaded;
    }
    std::size_t index = 0;
    if (report_.outcome == write_outcome::written && prepare(steps, 0))
    {
        while (index < steps.size() && write_object(steps, index))
        {
            ++index;
        }
    }
    for (; index < steps.size(); ++index)
    {
        report_.not_written.push_back(steps[index].key);
    }
    if (report_.outcome != write_outcome::unavailable)
    {
        const auto afterwards = load(report_.findings_afterwards);
        if (afterwards)
        {
            report_.revision = afterwards->revision();
            const auto findings = afterwards->check();
            report_.findings_afterwards.insert(
                report_.findings_afterwards.end(), findings.begin(), findings.end());
        }
    }
    return std::move(report_);
}

/// Applies the edits of all steps from `first` on to the table as read, and checks the result.
bool table_writer::prepare(const std::vector<object_edits>& steps, std::size_t first)
{
    auto outcome = document_;
    for (std::size_t index = first; index < steps.size(); ++index)
    {
        bool changed = false;
        for (const auto& edit : steps[index].edits)
        {
            auto applied = outcome.apply(edit);
            changed = changed || applied.changed;
            if (applied.conflict)
            {
                report_.conflicts.push_back(std::move(*applied.conflict));
            }
            if (applied.error)
            {
                report_.errors.push_back(std::move(*applied.error));
            }
        }
        // A newer program has written columns that would be lost here.
        for (const auto& column : outcome.unknown_columns(steps[index].key))
        {
            if (changed)
            {
                report_.errors.push_back(
                    {.kind = table_error_kind::unknown_column,
                     .row = "object " + steps[index].key,
                     .column = column,
                     .reason = "this program does not know the column and would drop it"});
            }
        }
    }
    if (!report_.conflicts.empty())
    {
        return fail(write_outcome::conflict);
    }
    if (report_.errors.empty())
    {
        report_.errors = outcome.check();
    }
    return report_.errors.empty() || fail(write_outcome::invalid);
}

bool table_writer::write_object(const std::vector<object_edits>& steps, std::size_t index)
{
    const auto& step = steps[index];
    const auto change_id = calls_.new_change_id();
    may_have_run_ = false;
    for (std::size_t attempts = 1; attempts <= max_attempts; ++attempts)
    {
        auto wanted = document_;
        bool changed = false;
        for (const auto& edit : step.edits)
        {
            changed = wanted.apply(edit).changed || changed;
        }
        if (!changed)
        {
            return true;
        }
        switch (attempt(step, wanted, change_id))
        {
        case step_result::done:
            document_ = std::move(wanted);
            document_.set_version(step.key, report_.written.back().version);
            return true;
        case step_result::again:
            calls_.pause(attempts);
            break;
        case step_result::rebase:
        {
            const auto loaded = load(report_.errors);
            if (!loaded || !report_.errors.empty())
            {
                return fail(loaded ? write_outcome::invalid : write_outcome::unavailable);
            }
            document_ = *loaded;
            if (!prepare(steps, index))
            {
                return false;
            }
            break;
        }
        case step_result::failed:
            return false;
        }
    }
    return fail(may_have_run_ ? write_outcome::unknown : write_outcome::unavailable);
}

table_writer::step_result table_writer::attempt(
    const object_edits& step, const table_document& wanted, const std::string& change_id)
{
    const auto result =
        calls_.put(step.key, wanted.encode(step.key, change_id), document_.version_of(step.key));
    switch (result.status)
    {
    case store_status::ok:
        report_.written.push_back({.key = step.key, .version = result.version});
        return step_result::done;
    case store_status::conflict:
        return may_have_run_ ? read_back(step, change_id) : step_result::rebase;
    case store_status::unknown:
        may_have_run_ = true;
        return read_back(step, change_id);
    default:
        return step_result::again;
    }
}

/// Finds out whether a write without an answer took effect.
table_writer::step_result
table_writer::read_back(const object_edits& step, const std::string& change_id)
{
    for (std::size_t attempts = 1; attempts <= max_attempts; ++attempts)
    {
        const auto read = calls_.get(step.key);
        const bool found = read.status == store_status::ok;
        if (!found && read.status != store_status::not_found)
        {
            calls_.pause(attempts);
            continue;
        }
        const auto found_id =
            found ? core::change_id_in({.key = step.key, .version = 0, .value = read.value}) : "";
        if (found_id == change_id)
        {
            report_.written.push_back(
                {.key = step.key, .version = read.version, .answer_lost = true});
            return step_result::done;
        }
        // The write may still arrive, so the same write is sent again under the same condition:
        // at most one of the two can win.
        if ((found ? read.version : 0) == document_.version_of(step.key))
        {
            return step_result::again;
        }
        // Another operator has written since. This write may have taken effect before that, so
        // writing again could undo what the other operator saw and decided.
        std::vector<table_error> unreadable;
        if (auto now = load(unreadable))
        {
            for (const auto& edit : step.edits)
            {
                if (auto applied = now->apply(edit); applied.conflict)
                {
                    report_.conflicts.push_back(std::move(*applied.conflict));
                }
            }
        }
        break;
    }
    fail(write_outcome::unknown);
    return step_result::failed;
}

bool table_writer::fail(write_outcome outcome)
{
    report_.outcome = outcome;
    return false;
}

} // namespace catkintally::ctl
