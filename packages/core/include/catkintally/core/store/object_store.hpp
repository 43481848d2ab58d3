#pragma once

#include <catkintally/core/store/store_position.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace catkintally::core
{

/// Outcome of a call to the platform's object API.
enum class store_status : std::uint8_t
{
    ok,
    not_found,
    /// The conditional update failed because the object has another version.
    conflict,
    /// The API answered that its rate limit is exceeded or that it is out of service; the call had
    /// no effect.
    unavailable,
    /// No answer was received; the call may have taken effect.
    unknown
};

/// A stored object. `value` is JSON text; `deleted` marks a deletion reported by a watch. `status`
/// is the status that the store keeps separately from the value, as JSON text; empty if there is
/// none.
struct store_object
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool deleted = false;
    std::string status{};
    /// Era of the store in which the object was read.
    std::uint64_t era = 0;
    /// Version that the writer gives the content; 0 if there is none. A store that returns from an
    /// old copy must not bring back older content.
    std::uint64_t content = 0;

    [[nodiscard]] store_position position() const { return {.era = era, .version = version}; }

    /// True if this object replaces `other`, which has the same key.
    [[nodiscard]] bool is_newer_than(const store_object& other) const
    {
        return std::tuple(content, position()) > std::tuple(other.content, other.position());
    }
};

/// Result of a get, put or remove. `version` is the object's version if the API returned it.
struct store_result
{
    store_status status = store_status::unknown;
    std::uint64_t version = 0;
    std::string value;
};

/// An entry of an answer whose version, or another member that every entry has, cannot be read.
struct unreadable_entry
{
    std::string key;
    /// Path of that member, and what is expected there.
    std::string where;
    std::string expected;

    bool operator==(const unreadable_entry&) const = default;
};

/// Result of a list or watch; `version` is the store version that it reflects, `era` the era that
/// the store has named in its answer.
struct store_list_result
{
    store_status status = store_status::unknown;
    std::uint64_t version = 0;
    std::vector<store_object> objects;
    std::optional<std::uint64_t> era{};
    /// Entries that are not among the objects, although the store holds them.
    std::vector<unreadable_entry> unreadable{};
    /// Number of further entries whose name cannot be read either.
    std::uint64_t nameless = 0;
};

/// Client of the platform's object API. Every call invokes its callback exactly once, from the
/// event loop.
class object_store
{
public:
    using result_callback = std::function<void(store_result)>;
    using list_callback = std::function<void(store_list_result)>;

    virtual ~object_store() = default;

    /// Cheapest call that shows whether the store answers this instance. The result may be out of
    /// date and incomplete. An ordinary list unless the store has a cheaper call.
    virtual void probe(const std::string& prefix, list_callback done)
    {
        list(prefix, std::move(done));
    }

    /// Reads one object.
    virtual void get(const std::string& key, result_callback done) = 0;

    /// Reads every object whose key starts with `prefix`.
    virtual void list(const std::string& prefix, list_callback done) = 0;

    /// Writes `value` if the object's version is `if_version` (0: the object must not exist).
    virtual void
    put(const std::string& key,
        const std::string& value,
        std::uint64_t if_version,
        result_callback done) = 0;

    /// Deletes the object if its version is `if_version`.
    virtual void remove(const std::string& key, std::uint64_t if_version, result_callback done) = 0;

    /// Waits for changes under `prefix` after store version `from`. An empty list after the API's
    /// own time limit is a normal result.
    virtual void watch(const std::string& prefix, std::uint64_t from, list_callback done) = 0;
};

} // namespace catkintally::core
