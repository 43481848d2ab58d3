#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <map>
#include <memory>

namespace catkintally::runtime
{

/// Timer service of a running process, on libevent's loop and the monotonic clock.
class libevent_timer_service final : public core::timer_service
{
public:
    /// `loop` must outlive this object.
    explicit libevent_timer_service(event_loop& loop);
    ~libevent_timer_service() override;

    [[nodiscard]] core::time_point now() const override;
    core::timer_id schedule_after(core::duration delay, std::function<void()> callback) override;
    void cancel(core::timer_id id) override;

private:
    struct subscription;

    event_loop& loop_;
    core::timer_id next_id_ = 1;
    std::map<core::timer_id, std::unique_ptr<subscription>> subscriptions_;
};

} // namespace catkintally::runtime
