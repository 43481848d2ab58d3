#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>

namespace catkintally::core
{

/// Settings of the overflow to other failure domains. Costs are milliseconds of a caller's time.
struct overflow_settings
{
    /// False: targets of other domains are probed only if the own domain has too few.
    bool enabled = false;
    /// Cost of one message to another domain, or back. A longer measured path counts instead.
    double hop_cost_ms = 2;
    /// Cost of a kilobyte that is sent to another domain, or back.
    double kilobyte_cost_ms = 0.1;
    /// Services with a target of fewer slots are left as they are.
    std::uint32_t min_slots = 4;
};

} // namespace catkintally::core
