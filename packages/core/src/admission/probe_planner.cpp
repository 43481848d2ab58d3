#include <catkintally/core/admission/probe_planner.hpp>

#include <algorithm>

namespace catkintally::core
{

target_admission* probe_planner::take(const target_list& targets, time_point now)
{
    target_admission* target = quietest(targets);
    if (!target || target->last_signal() + probe_budget::quiet_time > now)
    {
        return nullptr;
    }
    if (!budget_.take(now))
    {
        // One waiting probe counts once, however often it is looked at.
        const time_point due = target->last_signal() + probe_budget::quiet_time;
        if (budget_.allowed() && due != last_delayed_)
        {
            last_delayed_ = due;
            ++delayed_;
        }
        return nullptr;
    }
    ++sent_;
    target->probe_sent(now);
    return target;
}

std::optional<time_point> probe_planner::next_time(const target_list& targets) const
{
    const target_admission* target = budget_.allowed() ? quietest(targets) : nullptr;
    if (!target)
    {
        return std::nullopt;
    }
    return std::max(target->last_signal() + probe_budget::quiet_time, budget_.next());
}

target_admission* probe_planner::quietest(const target_list& targets)
{
    target_admission* oldest = nullptr;
    for (const auto& target : targets)
    {
        // An ejected target is tested by its trial request.
        const bool candidate = target->available() && target->in_flight_requests().empty() &&
                               target->phase() != target_phase::ejected;
        if (candidate && (!oldest || target->last_signal() < oldest->last_signal()))
        {
            oldest = target.get();
        }
    }
    return oldest;
}

} // namespace catkintally::core
