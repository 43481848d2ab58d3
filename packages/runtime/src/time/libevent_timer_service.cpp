#include <catkintally/runtime/time/libevent_timer_service.hpp>

#include <event2/event.h>

#include <algorithm>

namespace catkintally::runtime
{

struct libevent_timer_service::subscription
{
    libevent_timer_service* service = nullptr;
    core::timer_id id = 0;
    event* handle = nullptr;
    std::function<void()> callback;

    subscription() = default;
    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;
    ~subscription()
    {
        if (handle != nullptr)
        {
            event_free(handle);
        }
    }

    static void fire(evutil_socket_t, short, void* context)
    {
        auto* self = static_cast<subscription*>(context);
        // The callback may cancel or destroy anything, so the subscription is gone before it runs.
        auto callback = std::move(self->callback);
        self->service->subscriptions_.erase(self->id);
        callback();
    }
};

libevent_timer_service::libevent_timer_service(event_loop& loop)
    : loop_(loop)
{
}

libevent_timer_service::~libevent_timer_service() = default;

core::time_point libevent_timer_service::now() const
{
    return std::chrono::time_point_cast<core::duration>(std::chrono::steady_clock::now());
}

core::timer_id
libevent_timer_service::schedule_after(core::duration delay, std::function<void()> callback)
{
    const core::timer_id id = next_id_++;
    auto added = std::make_unique<subscription>();
    added->service = this;
    added->id = id;
    added->callback = std::move(callback);
    added->handle = evtimer_new(loop_.base(), &subscription::fire, added.get());
    const auto wait = std::max(delay, core::duration::zero()).count();
    const timeval when{
        .tv_sec = static_cast<time_t>(wait / 1'000'000),
        .tv_usec = static_cast<suseconds_t>(wait % 1'000'000)};
    evtimer_add(added->handle, &when);
    subscriptions_.emplace(id, std::move(added));
    return id;
}

void libevent_timer_service::cancel(core::timer_id id)
{
    subscriptions_.erase(id);
}

} // namespace catkintally::runtime
