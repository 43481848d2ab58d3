#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>

namespace catkintally::core
{

/// Health of a target as observed by one instance through its own requests and probes: whether the
/// target is ejected because of failures, and whether it is cold.
class target_health
{
public:
    /// Records a failed request or an unanswered probe. Ejects the target, for longer with each
    /// consecutive failure.
    void failed(time_point now);

    /// Same as failed(), and records that no connection to the target could be made.
    void unreachable(time_point now)
    {
        failed(now);
        unreachable_ = true;
    }

    /// Records any response of the target.
    void answered() { unreachable_ = false; }

    /// Records a successful response to a request.
    void succeeded()
    {
        failures_ = 0;
        unreachable_ = false;
    }

    /// True while the target is ejected because it cannot be reached. Such a target gets no
    /// requests even if most other targets fail too.
    [[nodiscard]] bool is_unreachable(time_point now) const
    {
        return unreachable_ && is_ejected(now);
    }

    /// True while the target is ejected because of failures.
    [[nodiscard]] bool is_ejected(time_point now) const { return now < ejected_until_; }

    /// Records that the target reported itself cold until `until`. Replaces any earlier value.
    void set_cold_until(time_point until) { cold_until_ = until; }

    [[nodiscard]] bool is_cold(time_point now) const { return now < cold_until_; }

    /// True if a request may be sent to the target now. A cold target takes only one request per
    /// `interval`.
    [[nodiscard]] bool may_take(time_point now, duration interval) const
    {
        return !is_cold(now) || now >= last_sent_ + interval;
    }

    /// Records that a request was granted to the target.
    void sent(time_point now) { last_sent_ = now; }

    /// Number of consecutive failures.
    [[nodiscard]] std::uint32_t failures() const { return failures_; }

private:
    std::uint32_t failures_ = 0;
    bool unreachable_ = false;
    time_point ejected_until_{};
    time_point cold_until_{};
    time_point last_sent_ = time_point(duration::min() / 2);
};

} // namespace catkintally::core
