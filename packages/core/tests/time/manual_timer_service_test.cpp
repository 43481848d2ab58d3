#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against callbacks that run out of order or after they were cancelled.
TEST_CASE("manual timers run in order of due time and honour cancellation")
{
    manual_timer_service timers;
    std::vector<int> ran;
    timers.schedule_after(20ms, [&] { ran.push_back(2); });
    timers.schedule_after(10ms, [&] { ran.push_back(1); });
    const timer_id cancelled = timers.schedule_after(15ms, [&] { ran.push_back(9); });
    timers.schedule_after(20ms, [&] { ran.push_back(3); });
    timers.cancel(cancelled);

    timers.advance(9ms);
    CHECK(ran.empty());
    timers.advance(11ms);
    CHECK(ran == std::vector<int>{1, 2, 3});
}
