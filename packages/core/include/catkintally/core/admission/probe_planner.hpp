#pragma once

#include <catkintally/core/admission/probe_budget.hpp>
#include <catkintally/core/admission/target_choice.hpp>

#include <optional>

namespace catkintally::core
{

/// Decides when to probe which target: only one without traffic whose last signal is older than
/// 2 s, oldest signal first, and within the budget of the service.
class probe_planner
{
public:
    /// Changes the budget.
    void set_rate(std::uint32_t per_second) { budget_.set_rate(per_second); }

    /// The target to probe now, or null. Takes the allowance and marks the target.
    target_admission* take(const target_list& targets, time_point now);

    /// Earliest time at which take() may return a target.
    [[nodiscard]] std::optional<time_point> next_time(const target_list& targets) const;

    /// Probes asked for, and probes that were due while the budget was spent.
    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    [[nodiscard]] std::uint64_t delayed() const { return delayed_; }

private:
    [[nodiscard]] static target_admission* quietest(const target_list& targets);

    probe_budget budget_;
    std::uint64_t sent_ = 0;
    std::uint64_t delayed_ = 0;
    time_point last_delayed_{};
};

} // namespace catkintally::core
