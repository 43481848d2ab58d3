#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace catkintally::core
{

/// Duration type of the core library, in microseconds.
using duration = std::chrono::microseconds;

/// Monotonic time since an arbitrary epoch. Not comparable between processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Identifies a scheduled callback; 0 is never issued.
using timer_id = std::uint64_t;

/// Clock and one-shot timers. All code that waits uses this interface, so that tests and benchmarks
/// can run the decision logic in virtual time.
class timer_service
{
public:
    virtual ~timer_service() = default;

    /// Current monotonic time.
    [[nodiscard]] virtual time_point now() const = 0;

    /// Calls `callback` once, `delay` from now. With a delay of zero it runs from the event loop,
    /// never inline.
    virtual timer_id schedule_after(duration delay, std::function<void()> callback) = 0;

    /// Cancels a scheduled callback. Unknown ids and those of callbacks that already ran are
    /// ignored.
    virtual void cancel(timer_id id) = 0;
};

} // namespace catkintally::core
