#include <catkintally/core/time/manual_timer_service.hpp>

#include <algorithm>

namespace catkintally::core
{

timer_id manual_timer_service::schedule_after(duration delay, std::function<void()> callback)
{
    const timer_id id = next_id_++;
    const time_point due = now_ + std::max(delay, duration::zero());
    queue_.emplace(queue_key{due, id}, std::move(callback));
    due_.emplace(id, due);
    return id;
}

void manual_timer_service::cancel(timer_id id)
{
    const auto found = due_.find(id);
    if (found == due_.end())
    {
        return;
    }
    queue_.erase(queue_key{found->second, id});
    due_.erase(found);
}

void manual_timer_service::advance(duration step)
{
    const time_point end = now_ + step;
    while (!queue_.empty() && queue_.begin()->first.first <= end)
    {
        auto first = queue_.extract(queue_.begin());
        now_ = std::max(now_, first.key().first);
        due_.erase(first.key().second);
        first.mapped()();
    }
    now_ = end;
}

} // namespace catkintally::core
