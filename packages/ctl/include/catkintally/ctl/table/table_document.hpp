#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/table/table_codec.hpp>
#include <catkintally/core/table/table_error.hpp>
#include <catkintally/ctl/table/table_edit.hpp>

#include <map>
#include <optional>
#include <vector>

namespace catkintally::ctl
{

/// Result of applying one edit to a document.
struct edit_result
{
    /// True if the document was changed; false if it already had the wanted value.
    bool changed = false;
    std::optional<edit_conflict> conflict{};
    std::optional<core::table_error> error{};
};

/// The stored table in memory, as one operator command reads and edits it.
class table_document
{
public:
    /// Reads stored objects. Objects that cannot be read are reported in `errors`.
    static table_document
    load(const std::vector<core::store_object>& objects, std::vector<core::table_error>& errors);

    /// All rows: domains, services, and targets by service.
    [[nodiscard]] std::vector<table_row> rows() const;

    /// The row, if it exists.
    [[nodiscard]] std::optional<table_row> find(const row_id& id);

    /// Applies one edit. A value that is neither the seen nor the wanted one is a conflict.
    edit_result apply(const table_edit& edit);

    /// Store key of the object that holds the row.
    [[nodiscard]] static std::string key_of(const row_id& id);

    /// Version of an object as read; 0 if it does not exist.
    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;

    /// Notes that an object has been stored as it is here.
    void set_version(const std::string& key, std::uint64_t version) { versions_[key] = version; }

    /// Newest version of all objects.
    [[nodiscard]] std::uint64_t revision() const;

    /// JSON text of an object, to be stored with this change id.
    [[nodiscard]] std::string encode(const std::string& key, const std::string& change_id) const;

    /// Columns of an object that this program does not know and would drop.
    [[nodiscard]] const std::vector<std::string>& unknown_columns(const std::string& key) const;

    /// All findings in the table, including objects that are too large to store.
    [[nodiscard]] std::vector<core::table_error> check() const;

    /// The table as one value.
    [[nodiscard]] core::table_snapshot snapshot() const;

private:
    struct any_row;

    std::optional<any_row> locate(const row_id& id);
    edit_result add(const table_edit& edit);
    edit_result remove(const table_edit& edit);

    std::map<std::string, core::stored_service> services_;
    core::stored_domains domains_;
    std::map<std::string, std::uint64_t> versions_;
};

/// Checks the columns of a row given as text; returns the findings with their column names.
[[nodiscard]] std::vector<core::table_error> check_row(const table_row& row);

/// Values of a row whose columns all have their defaults.
[[nodiscard]] std::vector<std::string> default_values(row_kind kind);

} // namespace catkintally::ctl
