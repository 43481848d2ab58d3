#pragma once

#include <catkintally/core/admission/completion_report.hpp>

#include <cstdint>

namespace catkintally::core
{

/// State of one target from which estimate() computes its result.
struct target_estimate_inputs
{
    load_report load;
    /// Slots of the target in the table; used if it did not report a number itself.
    std::uint32_t slots = 1;
    /// Requests that this instance has sent to the target since the load report.
    std::uint32_t sent_since_report = 0;
    bool cold = false;
    /// True if the target is in another failure domain.
    bool remote = false;
};

/// Expected performance of one more request at a target.
struct target_estimate
{
    /// Expected time to completion, in units of the usual service time at an idle target.
    double relative_time = 1;
    /// Requests already queued at the target.
    std::uint32_t waiting = 0;
    /// True if the target has a free slot.
    bool free = true;
    /// Number of free slots.
    std::uint32_t free_slots = 1;
};

/// Estimates the performance of one more request at a target that has just reported its load.
[[nodiscard]] target_estimate estimate(const target_estimate_inputs& inputs);

} // namespace catkintally::core
