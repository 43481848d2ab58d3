#include <catkintally/runtime/time/event_loop.hpp>

#include <event2/event.h>

#include <cassert>
#include <utility>

namespace catkintally::runtime
{

/// One signal subscription; subscriptions form a list owned by the loop.
struct event_loop::signal_subscription
{
    event* handle = nullptr;
    std::function<void()> hook;
    std::unique_ptr<signal_subscription, signal_deleter> next;
};

void event_loop::base_deleter::operator()(event_base* base) const
{
    event_base_free(base);
}

void event_loop::signal_deleter::operator()(signal_subscription* subscription) const
{
    event_free(subscription->handle);
    delete subscription;
}

event_loop::event_loop()
{
    // Timers and leases count in milliseconds, so the coarse kernel clock is not good enough.
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_.reset(event_base_new_with_config(config));
    event_config_free(config);
    assert(base_ != nullptr);
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(base_.get());
}

void event_loop::on_signal(int signal_number, std::function<void()> hook)
{
    std::unique_ptr<signal_subscription, signal_deleter> added(new signal_subscription);
    added->hook = std::move(hook);
    added->handle = evsignal_new(
        base_.get(), signal_number,
        [](evutil_socket_t, short, void* context)
        { static_cast<signal_subscription*>(context)->hook(); },
        added.get());
    event_add(added->handle, nullptr);
    added->next = std::move(signals_);
    signals_ = std::move(added);
}

} // namespace catkintally::runtime
