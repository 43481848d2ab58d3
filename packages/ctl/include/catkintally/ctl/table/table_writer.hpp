#pragma once

#include <catkintally/ctl/table/store_calls.hpp>
#include <catkintally/ctl/table/table_document.hpp>

#include <optional>
#include <string>
#include <vector>

namespace catkintally::ctl
{

/// How a command that edits the table ended.
enum class write_outcome : std::uint8_t
{
    /// Everything that was wanted is stored.
    written,
    /// The table would not be correct; nothing further was written.
    invalid,
    /// Another operator has changed a wanted value; it was not overwritten.
    conflict,
    /// The platform's API did not take the write, which therefore had no effect.
    unavailable,
    /// No answer arrived, and it cannot be told whether the write took effect.
    unknown
};

/// Name of an outcome in messages and JSON output.
[[nodiscard]] std::string_view to_string(write_outcome outcome);

/// One stored object.
struct written_object
{
    std::string key{};
    std::uint64_t version = 0;
    /// True if the answer was lost and the change id proved that the write took effect.
    bool answer_lost = false;
};

/// Result of one command that edits the table.
struct write_report
{
    write_outcome outcome = write_outcome::written;
    std::vector<written_object> written{};
    /// Objects that were to be changed and are not; with outcome unknown, the first of them may be.
    std::vector<std::string> not_written{};
    std::vector<edit_conflict> conflicts{};
    std::vector<core::table_error> errors{};
    /// Findings in the whole table afterwards. Two operators can each make a correct change to
    /// different objects that are not correct together; instances then keep the older revision.
    std::vector<core::table_error> findings_afterwards{};
    /// Revision of the table afterwards; 0 if it could not be read.
    std::uint64_t revision = 0;
};

/// Writes edits with one conditional update for each object. Values that another operator has
/// changed since they were seen are never overwritten; changes of other rows and columns of the
/// same object are kept. A write whose answer is lost is read back and recognised by its change id.
class table_writer
{
public:
    /// Attempts for each call before it counts as failed.
    static constexpr std::size_t max_attempts = 8;

    explicit table_writer(store_calls calls)
        : calls_(std::move(calls))
    {
    }

    /// Reads the table; nothing if the API does not answer. Objects that cannot be read are
    /// reported in `errors`.
    std::optional<table_document> load(std::vector<core::table_error>& errors);

    /// Checks all edits against the present table, then writes them object by object.
    write_report write(std::vector<table_edit> edits);

private:
    struct object_edits;
    enum class step_result : std::uint8_t;

    static std::vector<object_edits> by_object(const std::vector<table_edit>& edits);
    bool prepare(const std::vector<object_edits>& steps, std::size_t first);
    bool write_object(const std::vector<object_edits>& steps, std::size_t index);
    step_result
    attempt(const object_edits& step, const table_document& wanted, const std::string& change_id);
    step_result read_back(const object_edits& step, const std::string& change_id);
    bool fail(write_outcome outcome);

    store_calls calls_;
    table_document document_;
    write_report report_;
    /// True once a write of the current object has got no answer.
    bool may_have_run_ = false;
};

} // namespace catkintally::ctl
