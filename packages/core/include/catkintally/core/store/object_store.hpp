#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// How a call to the platform's object API ended.
enum class store_status : std::uint8_t
{
    ok,
    not_found,
    /// The conditional update lost: the object's version is another one.
    conflict,
    /// The API answered that it is over its rate or out of service; the call did not take effect.
    unavailable,
    /// No answer: the call may have taken effect.
    unknown
};

/// One object. `value` is JSON text; a deleted object in a watch has `deleted` set. `status` is
/// what the store keeps beside the value, as JSON text; empty if there is nothing.
struct store_object
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool deleted = false;
    std::string status{};
};

/// Answer to a get, put or remove. `version` is the object's version where the API told it.
struct store_result
{
    store_status status = store_status::unknown;
    std::uint64_t version = 0;
    std::string value;
};

/// Answer to a list or watch; `version` is the store version it reflects.
struct store_list_result
{
    store_status status = store_status::unknown;
    std::uint64_t version = 0;
    std::vector<store_object> objects;
};

/// The platform's object API. Every call answers exactly once through its hook, from the loop.
class object_store
{
public:
    using result_callback = std::function<void(store_result)>;
    using list_callback = std::function<void(store_list_result)>;

    virtual ~object_store() = default;

    /// Reads one object.
    virtual void get(const std::string& key, result_callback done) = 0;

    /// Reads every object whose key starts with `prefix`.
    virtual void list(const std::string& prefix, list_callback done) = 0;

    /// Writes `value` if the object's version is `if_version` (0: it must not exist).
    virtual void
    put(const std::string& key,
        const std::string& value,
        std::uint64_t if_version,
        result_callback done) = 0;

    /// Deletes the object if its version is `if_version`.
    virtual void remove(const std::string& key, std::uint64_t if_version, result_callback done) = 0;

    /// Waits for changes under `prefix` after store version `from`; an empty list after the API's
    /// own time limit is a normal answer.
    virtual void watch(const std::string& prefix, std::uint64_t from, list_callback done) = 0;
};

} // namespace catkintally::core
