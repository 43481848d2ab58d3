#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <map>
#include <utility>

namespace catkintally::core
{

/// Timer service with virtual time that advances only on request, for tests and deterministic
/// replays.
class manual_timer_service final : public timer_service
{
public:
    [[nodiscard]] time_point now() const override { return now_; }

    timer_id schedule_after(duration delay, std::function<void()> callback) override;

    void cancel(timer_id id) override;

    /// Advances time by `step` and runs every callback that becomes due, ordered by due time and,
    /// at equal due times, by scheduling order.
    void advance(duration step);

    /// Advances time by `step` without running callbacks, as if the process were suspended.
    /// Callbacks that become due meanwhile run late, in the next advance().
    void pause(duration step) { now_ += step; }

private:
    using queue_key = std::pair<time_point, timer_id>;

    time_point now_{};
    timer_id next_id_ = 1;
    std::map<queue_key, std::function<void()>> queue_;
    std::map<timer_id, time_point> due_;
};

} // namespace catkintally::core
