#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <string>

namespace catkintally::core
{

/// Whether operators let a target take new work.
enum class target_admin_state : std::uint8_t
{
    in,
    draining
};

/// One target as operators edit it.
struct target_row
{
    /// Unique name within its service.
    std::string name;
    /// IP address and port, for example 127.0.0.1:8080.
    std::string address;
    /// Failure domain the target stands in.
    std::string failure_domain;
    /// Requests it runs at the same time when warm.
    std::uint32_t slots = 2;
    /// Share of work relative to other targets of the service, per slot; 0 receives none.
    std::uint32_t weight = 100;
    /// Changes when the target starts again under its name. 0: unknown.
    std::uint64_t incarnation = 0;
    /// How much longer the target is cold, as it said when the row was written.
    duration warmup_remaining{};
    /// A draining target receives no new work.
    target_admin_state state = target_admin_state::in;

    bool operator==(const target_row&) const = default;
};

} // namespace catkintally::core
