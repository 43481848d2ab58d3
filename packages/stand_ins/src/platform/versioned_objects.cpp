#include <catkintally/stand_ins/platform/versioned_objects.hpp>

#include <utility>

namespace catkintally::stand_ins
{

std::uint64_t versioned_objects::version_of(const std::string& key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? 0 : found->second.version;
}

std::optional<std::uint64_t> versioned_objects::put(
    const std::string& key, std::string value, std::optional<std::uint64_t> if_version)
{
    if (if_version && *if_version != version_of(key))
    {
        return std::nullopt;
    }
    versioned_object& object = objects_[key];
    if (object.version != 0 && object.value == value)
    {
        // A write that changes nothing is no change.
        return object.version;
    }
    object.version = ++version_;
    object.value = std::move(value);
    record({.key = key, .version = version_, .value = object.value, .status = object.status});
    return version_;
}

std::optional<std::uint64_t>
versioned_objects::put_status(const std::string& key, std::string status)
{
    const auto found = objects_.find(key);
    if (found == objects_.end())
    {
        return std::nullopt;
    }
    versioned_object& object = found->second;
    object.version = ++version_;
    object.status = std::move(status);
    record({.key = key, .version = version_, .value = object.value, .status = object.status});
    return version_;
}

void versioned_objects::forget_history()
{
    history_.clear();
    forgotten_ = version_;
}

std::optional<std::uint64_t>
versioned_objects::remove(const std::string& key, std::optional<std::uint64_t> if_version)
{
    const auto found = objects_.find(key);
    if (found == objects_.end() || (if_version && *if_version != found->second.version))
    {
        return std::nullopt;
    }
    objects_.erase(found);
    ++version_;
    record({.key = key, .version = version_, .value = std::nullopt, .status = "null"});
    return version_;
}

std::optional<std::vector<object_event>>
versioned_objects::events_after(const std::string& prefix, std::uint64_t from) const
{
    if (from < forgotten_ || from > version_)
    {
        return std::nullopt;
    }
    std::vector<object_event> events;
    for (const auto& change : history_)
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
    history_.push_back(std::move(change));
    while (history_.size() > history_limit_)
    {
        forgotten_ = history_.front().version;
        history_.pop_front();
    }
}

} // namespace catkintally::stand_ins
