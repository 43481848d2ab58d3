#include <catkintally/ctl/table/store_calls.hpp>

#include <catkintally/core/time/back_off.hpp>
#include <catkintally/runtime/time/run_until.hpp>

#include <optional>
#include <random>

namespace catkintally::ctl
{

namespace
{

/// Runs the loop until `start` has called the hook that it is given. The store bounds each call
/// with its own deadline.
template <class Result, class Start>
Result wait_for(runtime::event_loop& loop, core::timer_service& timers, Start start)
{
    std::optional<Result> answer;
    start([&](Result result) { answer = std::move(result); });
    runtime::run_until(
        loop, timers, [&] { return answer.has_value(); }, std::chrono::hours(1));
    return answer.value_or(Result());
}

} // namespace

store_calls
make_store_calls(core::object_store& store, runtime::event_loop& loop, core::timer_service& timers)
{
    return {
        .list =
            [&](const std::string& prefix)
        {
            return wait_for<core::store_list_result>(
                loop, timers, [&](auto done) { store.list(prefix, done); });
        },
        .get =
            [&](const std::string& key) {
                return wait_for<core::store_result>(
                    loop, timers, [&](auto done) { store.get(key, done); });
            },
        .put =
            [&](const std::string& key, const std::string& value, std::uint64_t if_version)
        {
            return wait_for<core::store_result>(
                loop, timers, [&](auto done) { store.put(key, value, if_version, done); });
        },
        .pause =
            [&](std::size_t failures)
        {
            core::back_off waits({.seed = std::random_device{}()});
            core::duration wait{};
            for (std::size_t i = 0; i < failures; ++i)
            {
                wait = waits.next();
            }
            runtime::run_until(
                loop, timers, [] { return false; }, wait);
        },
        .new_change_id =
            []
        {
            std::random_device random;
            std::string id;
            for (int i = 0; i < 4; ++i)
            {
                id += (id.empty() ? "" : "-") + std::to_string(random());
            }
            return id;
        }};
}

} // namespace catkintally::ctl
