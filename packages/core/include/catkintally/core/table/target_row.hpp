#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <string>

namespace catkintally::core
{

/// Administrative state of a target, set by operators.
enum class target_admin_state : std::uint8_t
{
    in,
    draining
};

/// Table row of one target, as edited by operators.
struct target_row
{
    /// Unique name within its service.
    std::string name;
    /// IP address and port, for example 127.0.0.1:8080.
    std::string address;
    /// Name of the failure domain that the target belongs to.
    std::string failure_domain;
    /// Maximum number of requests that the target runs concurrently when warm.
    std::uint32_t slots = 2;
    /// Load-balancing weight per slot, relative to the other targets of the service. A target with
    /// weight 0 receives no requests.
    std::uint32_t weight = 100;
    /// Changes when the target restarts under the same name. 0: unknown.
    std::uint64_t incarnation = 0;
    /// Remaining warm-up time, as reported by the target when the row was written.
    duration warmup_remaining{};
    /// A draining target receives no new requests.
    target_admin_state state = target_admin_state::in;

    bool operator==(const target_row&) const = default;
};

} // namespace catkintally::core
