#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>

namespace catkintally::core
{

/// What one instance has learnt about a target from its own requests and probes: whether it fails,
/// and whether it is cold.
class target_health
{
public:
    /// The target failed a request, or did not answer a probe. Ejects it for a while; longer with
    /// each failure in a row.
    void failed(time_point now);

    /// As failed(), and no connection to the target could be made.
    void unreachable(time_point now)
    {
        failed(now);
        unreachable_ = true;
    }

    /// The target answered something.
    void answered() { unreachable_ = false; }

    /// The target answered a request with success.
    void succeeded()
    {
        failures_ = 0;
        unreachable_ = false;
    }

    /// True while the target gets no work because it can't be reached, even if most others fail,
    /// too.
    [[nodiscard]] bool is_unreachable(time_point now) const
    {
        return unreachable_ && is_ejected(now);
    }

    /// True while the target gets no work because it failed.
    [[nodiscard]] bool is_ejected(time_point now) const { return now < ejected_until_; }

    /// The target is cold until `until`, as it says itself. A later statement replaces an earlier
    /// one.
    void set_cold_until(time_point until) { cold_until_ = until; }

    [[nodiscard]] bool is_cold(time_point now) const { return now < cold_until_; }

    /// Whether a request may go to the target now. A cold one takes a request only every
    /// `interval`.
    [[nodiscard]] bool may_take(time_point now, duration interval) const
    {
        return !is_cold(now) || now >= last_sent_ + interval;
    }

    /// A request was granted a place at the target.
    void sent(time_point now) { last_sent_ = now; }

    /// Failures in a row.
    [[nodiscard]] std::uint32_t failures() const { return failures_; }

private:
    std::uint32_t failures_ = 0;
    bool unreachable_ = false;
    time_point ejected_until_{};
    time_point cold_until_{};
    time_point last_sent_ = time_point(duration::min() / 2);
};

} // namespace catkintally::core
