#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace catkintally::core
{

/// Durations in the decision logic are microseconds.
using duration = std::chrono::microseconds;

/// Monotonic time since an arbitrary start. Values of two processes are not comparable.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Identifies one subscription; 0 is never issued.
using timer_id = std::uint64_t;

/// Source of time and of timed callbacks. Every part that waits subscribes here, so that tests and
/// other benches can drive the decision logic with virtual time.
class timer_service
{
public:
    virtual ~timer_service() = default;

    /// Current monotonic time.
    [[nodiscard]] virtual time_point now() const = 0;

    /// Calls `callback` once, `delay` from now. A delay of zero runs it from the loop, never
    /// inline.
    virtual timer_id schedule_after(duration delay, std::function<void()> callback) = 0;

    /// Removes a subscription. Unknown and already fired ids are ignored.
    virtual void cancel(timer_id id) = 0;
};

} // namespace catkintally::core
