#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>

namespace catkintally::core
{

/// A request that has crashed several targets in a row, as instances tell each other.
struct crash_record
{
    /// Identifies the request; see request_fingerprint.
    std::uint64_t fingerprint = 0;
    /// Number of targets that it has crashed, one after the other.
    std::uint32_t crashes = 0;
    /// Time of the latest crash.
    time_point crashed_at{};
    /// Time of the latest known arrival of the request at any instance.
    time_point arrived_at{};
    /// Instance that asks to send the request once, as a number drawn by it; 0 if none does.
    std::uint64_t claimant = 0;
};

} // namespace catkintally::core
