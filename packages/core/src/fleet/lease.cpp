#include <catkintally/core/fleet/lease.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

template <typename EchoTime>
bool majority_within(
    const view& current,
    const member_id& self,
    time_point now,
    duration limit,
    const EchoTime& echo_time)
{
    if (current.find(self) == nullptr)
    {
        return false;
    }
    const auto supporting = std::count_if(
        current.members.begin(), current.members.end(),
        [&](const member& entry)
        {
            if (entry.id == self)
            {
                return true;
            }
            const std::optional<time_point> sent = echo_time(entry.id);
            return sent && now - *sent < limit;
        });
    return static_cast<std::size_t>(supporting) * 2 > current.members.size();
}

} // namespace

bool holds_lease(
    const view& current, const member_id& self, const heartbeat_tracker& tracker, time_point now)
{
    return majority_within(
        current, self, now, lease_time,
        [&](const member_id& peer) { return tracker.echoed_in_epoch(peer, current.epoch); });
}

bool hears_majority(
    const view& current, const member_id& self, const heartbeat_tracker& tracker, time_point now)
{
    return majority_within(
        current, self, now, freshness_time,
        [&](const member_id& peer) { return tracker.echoed(peer); });
}

} // namespace catkintally::core
