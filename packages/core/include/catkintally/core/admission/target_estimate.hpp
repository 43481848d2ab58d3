#pragma once

#include <catkintally/core/admission/completion_report.hpp>

#include <cstdint>

namespace catkintally::core
{

/// Inputs of the estimate for one target.
struct target_estimate_inputs
{
    load_report load;
    /// Slots by the table; used if the target did not report its own.
    std::uint32_t slots = 1;
    /// Requests that this instance has sent to the target since it reported its load.
    std::uint32_t sent_since_report = 0;
    bool cold = false;
    /// The target stands in another failure domain.
    bool remote = false;
};

/// Forecast for one more request at a target.
struct target_estimate
{
    /// Time that the request needs there, in units of its usual time at an idle target.
    double relative_time = 1;
    /// Requests that wait there already.
    std::uint32_t waiting = 0;
    /// A slot is free.
    bool free = true;
};

/// Estimates how one more request fares at a target that has just reported its load.
[[nodiscard]] target_estimate estimate(const target_estimate_inputs& inputs);

} // namespace catkintally::core
