#include <catkintally/entry/table/refused_objects.hpp>
#include <catkintally/runtime/log/event_log.hpp>

namespace catkintally::entry
{

namespace
{

/// Number of refused objects that are remembered, which bounds the memory.
constexpr std::size_t max_known = 1'000;

/// Longer keys and paths are cut.
constexpr std::size_t max_text_bytes = 200;

void log_refusal(
    const std::string& key,
    std::uint64_t version,
    const std::string& where,
    const std::string& expected)
{
    runtime::log_event(
        runtime::event_id::object_refused, {{"key", key},
                                            {"version", std::to_string(version)},
                                            {"where", where.substr(0, max_text_bytes)},
                                            {"expected", expected}});
}

} // namespace

void refused_objects::refuse(
    const std::string& whole_key,
    core::store_position position,
    const std::string& where,
    const std::string& expected)
{
    const std::string key = whole_key.substr(0, max_text_bytes);
    const auto found = known_.find(key);
    const bool same_reason = found != known_.end() && found->second.where == where;
    if (same_reason && found->second.position == position)
    {
        return;
    }
    ++count_;
    if (!same_reason)
    {
        log_refusal(key, position.version, where, expected);
    }
    if (found == known_.end())
    {
        order_.push_back(key);
        if (order_.size() > max_known)
        {
            known_.erase(order_.front());
            order_.pop_front();
        }
    }
    known_.insert_or_assign(key, refusal{.position = position, .where = where});
}

void refused_objects::refuse_nameless(const std::string& prefix, std::uint64_t number)
{
    count_ += number;
    if (number > 0 && nameless_.insert(prefix).second)
    {
        log_refusal(prefix, 0, "metadata.name", "a non-empty string");
    }
}

} // namespace catkintally::entry
