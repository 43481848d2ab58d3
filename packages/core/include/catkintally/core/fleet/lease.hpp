#pragma once

#include <catkintally/core/fleet/heartbeat_tracker.hpp>
#include <catkintally/core/fleet/view.hpp>

namespace catkintally::core
{

/// How long an echo of the current epoch supports the lease, from the time of sending.
inline constexpr duration lease_time = std::chrono::milliseconds(300);

/// How long an instance may serve without current information from the store or a majority.
inline constexpr duration freshness_time = std::chrono::seconds(2);

/// True if a majority of the view's members, `self` and leaving ones included, echoed the view's
/// epoch in a heartbeat sent within lease_time. An owner grants only while this holds.
[[nodiscard]] bool holds_lease(
    const view& current, const member_id& self, const heartbeat_tracker& tracker, time_point now);

/// True if a majority of the view's members answered a heartbeat sent within freshness_time.
/// Messages that waited in a buffer while this process was paused echo only old heartbeats and so
/// do not count.
[[nodiscard]] bool hears_majority(
    const view& current, const member_id& self, const heartbeat_tracker& tracker, time_point now);

} // namespace catkintally::core
