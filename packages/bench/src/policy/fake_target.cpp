#include <catkintally/bench/policy/fake_target.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::bench
{

fake_target::fake_target(
    core::timer_service& timers, std::uint32_t slots, const std::vector<slow_window>& windows)
    : timers_(&timers)
    , slots_(slots)
{
    const core::time_point now = timers.now();
    for (const slow_window& window : windows)
    {
        timers.schedule_after(window.start - now, [this] { set_slow(true); });
        timers.schedule_after(window.end - now, [this] { set_slow(false); });
    }
}

void fake_target::submit(core::duration work, core::time_point deadline, done_hook done)
{
    job added;
    added.work_left_us = static_cast<double>(work.count());
    added.deadline = deadline;
    added.done = std::move(done);
    if (has_free_slot())
    {
        start(running_.insert(running_.end(), std::move(added)));
    }
    else
    {
        waiting_.push_back(std::move(added));
    }
}

void fake_target::start(std::list<job>::iterator running)
{
    running->since = timers_->now();
    const core::duration end(
        static_cast<core::duration::rep>(std::ceil(running->work_left_us / speed())));
    const core::duration limit = running->deadline - running->since;
    running->timer = timers_->schedule_after(
        std::min(end, limit),
        [this, running, answered = end <= limit]
        {
            running->work_left_us = answered ? 0 : running->work_left_us;
            finish(running);
        });
}

void fake_target::finish(std::list<job>::iterator running)
{
    const bool answered = running->work_left_us <= 0;
    const done_hook done = std::move(running->done);
    running_.erase(running);
    while (has_free_slot() && !waiting_.empty())
    {
        job next = std::move(waiting_.front());
        waiting_.pop_front();
        start(running_.insert(running_.end(), std::move(next)));
    }
    done(answered);
}

void fake_target::set_slow(bool slow)
{
    const double old_speed = speed();
    slow_ = slow;
    for (auto running = running_.begin(); running != running_.end(); ++running)
    {
        timers_->cancel(running->timer);
        const auto elapsed = static_cast<double>((timers_->now() - running->since).count());
        running->work_left_us = std::max(running->work_left_us - elapsed * old_speed, 1.0);
        start(running);
    }
}

} // namespace catkintally::bench
