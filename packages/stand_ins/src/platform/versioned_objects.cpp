#include <catkintally/stand_ins/platform/versioned_objects.hpp>

#include <utility>

namespace catkintally::stand_ins
{

std::uint64_t versioned_objects::version_of(const std::string& key) const
{
    const auto found = current_.objects.find(key);
    return found == current_.objects.end() ? 0 : found->second.version;
}

std::optional<std::uint64_t> versioned_objects::put(
    const std::string& key, std::string value, std::optional<std::uint64_t> if_version)
{
    if (if_version && *if_version != version_of(key))
    {
        return std::nullopt;
    }
    versioned_object& object = current_.objects[key];
    if (object.version != 0 && object.value == value)
    {
        // A write that changes nothing is no change.
        return object.version;
    }
    object.version = ++current_.version;
    object.value = std::move(value);
    record(
        {.key = key, .version = current_.version, .value = object.value, .status = object.status});
    return current_.version;
}

std::optional<std::uint64_t>
versioned_objects::put_status(const std::string& key, std::string status)
{
    const auto found = current_.objects.find(key);
    if (found == current_.objects.end())
    {
        return std::nullopt;
    }
    versioned_object& object = found->second;
    object.version = ++current_.version;
    object.status = std::move(status);
    record(
        {.key = key, .version = current_.version, .value = object.value, .status = object.status});
    return current_.version;
}

void versioned_objects::forget_history()
{
    current_.history.clear();
    current_.forgotten = current_.version;
}

void versioned_objects::save_copy()
{
    copy_ = current_;
}

void versioned_objects::return_from_copy()
{
    current_ = copy_;
    ++era_;
}

std::optional<std::uint64_t>
versioned_objects::remove(const std::string& key, std::optional<std::uint64_t> if_version)
{
    const auto found = current_.objects.find(key);
    if (found == current_.objects.end() || (if_version && *if_version != found->second.version))
    {
        return std::nullopt;
    }
    current_.objects.erase(found);
    ++current_.version;
    record({.key = key, .version = current_.version, .value = std::nullopt, .status = "null"});
    return current_.version;
}

std::optional<std::vector<object_event>>
versioned_objects::events_after(const std::string& prefix, std::uint64_t from) const
{
    if (from < current_.forgotten || from > current_.version)
    {
        return std::nullopt;
    }
    std::vector<object_event> events;
    for (const auto& change : current_.history)
    {
        if (change.version > from && change.key.starts_with(prefix))
        {
            events.push_back(change);
        }
    }
    return events;
}

void versioned_objects::record(object_event change)
{
    current_.history.push_back(std::move(change));
    while (current_.history.size() > history_limit_)
    {
        current_.forgotten = current_.history.front().version;
        current_.history.pop_front();
    }
}

} // namespace catkintally::stand_ins
