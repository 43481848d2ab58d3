#include <catkintally/stand_ins/platform/instance_list.hpp>

#include <utility>

namespace catkintally::stand_ins
{

instance_list::~instance_list()
{
    for (const auto& [number, timer] : pending_)
    {
        timers_.cancel(timer);
    }
}

void instance_list::set(const std::string& id, std::string entry)
{
    after_lag([this, id, entry = std::move(entry)] { visible_[id] = entry; });
}

void instance_list::remove(const std::string& id)
{
    after_lag([this, id] { visible_.erase(id); });
}

void instance_list::after_lag(std::function<void()> change)
{
    if (lag_ <= core::duration::zero())
    {
        change();
        return;
    }
    const std::uint64_t number = next_change_++;
    pending_[number] = timers_.schedule_after(
        lag_,
        [this, number, change = std::move(change)]
        {
            pending_.erase(number);
            change();
        });
}

} // namespace catkintally::stand_ins
