#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <functional>
#include <string>

namespace catkintally::ctl
{

/// Calls to the object API that wait for their answer. An operator command does one thing at a
/// time.
struct store_calls
{
    std::function<core::store_list_result(const std::string& prefix)> list;
    std::function<core::store_result(const std::string& key)> get;
    std::function<core::store_result(
        const std::string& key, const std::string& value, std::uint64_t if_version)>
        put;
    /// Waits before the next attempt; the argument counts the failures so far.
    std::function<void(std::size_t failures)> pause;
    /// New random change id.
    std::function<std::string()> new_change_id;
};

/// Calls that run the loop until the answer has arrived. The arguments must outlive the result.
[[nodiscard]] store_calls
make_store_calls(core::object_store& store, runtime::event_loop& loop, core::timer_service& timers);

} // namespace catkintally::ctl
