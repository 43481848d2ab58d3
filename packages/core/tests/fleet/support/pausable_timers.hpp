#pragma once

#include <catkintally/core/time/manual_timer_service.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace catkintally::core::test
{

/// Timers of one simulated process. While it is paused, time goes on and callbacks wait.
class pausable_timers final : public timer_service
{
public:
    explicit pausable_timers(manual_timer_service& clock)
        : clock_(clock)
    {
    }

    [[nodiscard]] time_point now() const override { return clock_.now(); }

    timer_id schedule_after(duration delay, std::function<void()> callback) override
    {
        return clock_.schedule_after(
            delay,
            [state = state_, callback = std::move(callback)]() mutable
            {
                if (state->dead)
                {
                    return;
                }
                if (state->paused)
                {
                    state->backlog.push_back(std::move(callback));
                    return;
                }
                callback();
            });
    }

    void cancel(timer_id id) override { clock_.cancel(id); }

    /// Runs now, or at the resumption if the process is paused.
    void run(std::function<void()> callback)
    {
        schedule_after(duration::zero(), std::move(callback));
    }

    void pause() { state_->paused = true; }

    void resume()
    {
        state_->paused = false;
        for (auto& callback : std::exchange(state_->backlog, {}))
        {
            callback();
        }
    }

    /// Drops every callback: the process was killed.
    void kill() { state_->dead = true; }

    [[nodiscard]] bool paused() const { return state_->paused; }

private:
    struct shared_state
    {
        bool paused = false;
        bool dead = false;
        std::vector<std::function<void()>> backlog;
    };

    manual_timer_service& clock_;
    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

} // namespace catkintally::core::test
