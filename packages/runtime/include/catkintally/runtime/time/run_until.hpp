#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <functional>

namespace catkintally::runtime
{

/// Runs the loop until `done` holds, for programs and tests that wait for one result. Returns false
/// if `limit` has passed first. Must not be called from a callback of the loop.
bool run_until(
    event_loop& loop,
    core::timer_service& timers,
    const std::function<bool()>& done,
    core::duration limit = std::chrono::seconds(30));

} // namespace catkintally::runtime
