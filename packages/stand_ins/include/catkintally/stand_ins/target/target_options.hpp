#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace catkintally::stand_ins
{

/// Behaviour of one target of the stand-in.
struct target_options
{
    std::string name = "target";
    /// Requests that run at the same time.
    std::uint32_t slots = 2;
    /// Requests that may wait; unset: as many as there are slots.
    std::optional<std::uint32_t> queue{};
    /// A request for which there is no room gets its connection reset instead of a refusal.
    bool reset_when_full = false;
    /// Scale of the service time; the mean is 1.5 times this value.
    core::duration service_time = std::chrono::milliseconds(10);
    std::uint64_t seed = 1;
    /// Status of a refusal that says that the request was not run.
    int shed_status = 503;
    bool start_cold = false;
    /// Requests that a cold target can run at the same time.
    std::uint32_t cold_capacity = 1;
    /// Successes after which a cold target is warm.
    std::uint32_t warm_after = 6;
    /// A request whose path contains this text crashes the target.
    std::string crash_text = "crash";
    /// How long a crashed target is down.
    core::duration down_time = std::chrono::milliseconds(1000);
};

/// What the load header says compared with the truth.
enum class report_mode : std::uint8_t
{
    honest,
    /// The state of half a second ago.
    stale,
    /// Always idle and warm.
    misleading
};

} // namespace catkintally::stand_ins
