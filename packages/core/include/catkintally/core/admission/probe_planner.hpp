#pragma once

#include <catkintally/core/admission/probe_budget.hpp>
#include <catkintally/core/admission/target_choice.hpp>

#include <optional>

namespace catkintally::core
{

/// Decides when to probe which target: only targets with no request in flight whose last signal is
/// at least 2 s old, least recent signal first, within the probe budget of the service.
class probe_planner
{
public:
    /// Sets the budget in probes per second; 0 disables probes.
    void set_rate(std::uint32_t per_second) { budget_.set_rate(per_second); }

    /// Returns the target to probe now, or null. Consumes the budget and records the probe at the
    /// target.
    target_admission* take(const target_list& targets, time_point now);

    /// Earliest time at which take() may return a target.
    [[nodiscard]] std::optional<time_point> next_time(const target_list& targets) const;

    /// Probes requested, and probes that were due while the budget was exhausted.
    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    [[nodiscard]] std::uint64_t delayed() const { return delayed_; }

private:
    [[nodiscard]] static target_admission* longest_idle(const target_list& targets);

    probe_budget budget_;
    std::uint64_t sent_ = 0;
    std::uint64_t delayed_ = 0;
    time_point last_delayed_{};
};

} // namespace catkintally::core
