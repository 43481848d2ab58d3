#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::stand_ins
{

/// One stored object; `value` and `status` are JSON text.
struct versioned_object
{
    std::uint64_t version = 0;
    std::string value;
    std::string status = "null";
};

/// One change of an object; a deletion has no value.
struct object_event
{
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value;
    std::string status = "null";
};

/// Objects of the platform's store, with one version counter and a bounded history for watches.
class versioned_objects
{
public:
    /// `history_limit` is the number of changes that a watch can still look back on.
    explicit versioned_objects(std::size_t history_limit)
        : history_limit_(history_limit)
    {
    }

    /// Version of the newest change.
    [[nodiscard]] std::uint64_t version() const { return current_.version; }

    /// Objects by key.
    [[nodiscard]] const std::map<std::string, versioned_object>& objects() const
    {
        return current_.objects;
    }

    /// Version of the object, 0 if it does not exist.
    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;

    /// Stores the value if the condition holds (no condition: always). Returns the new version, or
    /// nothing if the object has another version.
    std::optional<std::uint64_t>
    put(const std::string& key, std::string value, std::optional<std::uint64_t> if_version);

    /// Replaces the status of an existing object, beside its value. Returns the new version.
    std::optional<std::uint64_t> put_status(const std::string& key, std::string status);

    /// Forgets all changes so far, so that a watch from before them is refused.
    void forget_history();

    /// Keeps the present state as the copy that return_from_copy() returns to.
    void save_copy();

    /// Loses every change since save_copy(), and counts the era up. Versions after the copy's are
    /// assigned again.
    void return_from_copy();

    /// Number of times that the store has returned from a copy, plus one.
    [[nodiscard]] std::uint64_t era() const { return era_; }

    /// Deletes the object if it exists and the condition holds.
    std::optional<std::uint64_t>
    remove(const std::string& key, std::optional<std::uint64_t> if_version);

    /// Changes under `prefix` after version `from`, or nothing if the history does not reach back
    /// to it or `from` lies in the future.
    [[nodiscard]] std::optional<std::vector<object_event>>
    events_after(const std::string& prefix, std::uint64_t from) const;

private:
    /// What the store loses when it returns from a copy.
    struct contents
    {
        std::uint64_t version = 0;
        std::uint64_t forgotten = 0;
        std::map<std::string, versioned_object> objects;
        std::deque<object_event> history;
    };

    void record(object_event change);

    std::size_t history_limit_;
    std::uint64_t era_ = 1;
    contents current_;
    contents copy_;
};

} // namespace catkintally::stand_ins
