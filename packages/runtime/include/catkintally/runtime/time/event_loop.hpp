#pragma once

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace catkintally::runtime
{

/// The process's single libevent loop. Every socket, timer and signal of a process hangs on it, and
/// all callbacks run on the thread that calls run().
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// The libevent base, owned by this object.
    [[nodiscard]] event_base* base() const { return base_.get(); }

    /// Runs callbacks until stop() is called.
    void run();

    /// Ends run() after the current callback.
    void stop();

    /// Calls `hook` from the loop whenever the process receives `signal_number`.
    void on_signal(int signal_number, std::function<void()> hook);

private:
    struct base_deleter
    {
        void operator()(event_base* base) const;
    };
    struct signal_subscription;
    struct signal_deleter
    {
        void operator()(signal_subscription* subscription) const;
    };

    std::unique_ptr<event_base, base_deleter> base_;
    std::unique_ptr<signal_subscription, signal_deleter> signals_;
};

} // namespace catkintally::runtime
