#include <catkintally/core/admission/target_barriers.hpp>
#include <catkintally/core/admission/target_set.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Time for which statements of a target that the table does not list are kept. A stale table, or a
/// store that returns from a copy, may list it again.
constexpr auto unlisted_retention = std::chrono::minutes(5);

constexpr auto longest_pause = std::chrono::minutes(5);

/// For this long after a pause a target gets at most one grant per interval.
constexpr auto return_time = std::chrono::seconds(1);
constexpr auto return_interval = std::chrono::milliseconds(50);

} // namespace

target_barriers::entry&
target_barriers::entry_of(const std::string& service, const target_row& target, time_point now)
{
    entry& found = entries_[{service, target.name}];
    if (found.incarnation != target.incarnation || found.address != target.address)
    {
        found = {.incarnation = target.incarnation, .address = target.address};
    }
    found.last_listed = now;
    return found;
}

void target_barriers::note_leaving(
    const std::string& service, const target_row& target, time_point now)
{
    entry_of(service, target, now).leaving = true;
}

void target_barriers::note_pause(
    const std::string& service, const target_row& target, duration pause, time_point now)
{
    entry& known = entry_of(service, target, now);
    const duration believed = std::min<duration>(pause, longest_pause);
    const time_point until = now + believed;
    if (!known.pause_until || *known.pause_until < until)
    {
        known.pause = believed;
        known.pause_until = until;
    }
}

void target_barriers::note_grant(
    const std::string& service, const target_row& target, time_point now)
{
    const auto found = entries_.find({service, target.name});
    if (found != entries_.end())
    {
        found->second.last_grant = now;
    }
}

const target_barriers::entry*
target_barriers::find_entry(const std::string& service, const target_row& target) const
{
    const auto found = entries_.find({service, target.name});
    const bool applies = found != entries_.end() &&
                         found->second.incarnation == target.incarnation &&
                         found->second.address == target.address;
    return applies ? &found->second : nullptr;
}

std::optional<target_barrier> target_barriers::barrier_of(const entry& known, time_point now)
{
    if (known.leaving)
    {
        return target_barrier{.reason = barrier_reason::leaving};
    }
    if (known.pause_until && now < *known.pause_until)
    {
        return target_barrier{
            .reason = barrier_reason::paused, .until = known.pause_until, .asked = known.pause};
    }
    return std::nullopt;
}

std::optional<target_barrier>
target_barriers::find(const std::string& service, const target_row& target, time_point now) const
{
    const entry* known = find_entry(service, target);
    return known == nullptr ? std::nullopt : barrier_of(*known, now);
}

std::optional<time_point> target_barriers::next_grant(
    const std::string& service, const target_row& target, time_point now) const
{
    const entry* known = find_entry(service, target);
    const bool returns = known != nullptr && known->pause_until && known->last_grant &&
                         *known->last_grant >= *known->pause_until &&
                         now < *known->pause_until + return_time;
    if (!returns || now >= *known->last_grant + return_interval)
    {
        return std::nullopt;
    }
    return *known->last_grant + return_interval;
}

void target_barriers::remove_unlisted(const table_snapshot& table, time_point now)
{
    for (auto& [key, each] : entries_)
    {
        if (find_target(table, key.first, key.second) != nullptr)
        {
            each.last_listed = now;
        }
    }
    std::erase_if(
        entries_,
        [now](const auto& each) { return now - each.second.last_listed > unlisted_retention; });
}

std::vector<target_barrier_dump> target_barriers::dump(time_point now) const
{
    std::vector<target_barrier_dump> all;
    for (const auto& [key, each] : entries_)
    {
        if (const auto barrier = barrier_of(each, now))
        {
            all.push_back({.service = key.first, .target = key.second, .barrier = *barrier});
        }
    }
    return all;
}

} // namespace catkintally::core
