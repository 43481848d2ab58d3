#include <catkintally/core/admission/windowed_min_slowdown.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against noise that makes slow targets look usual, and against a service that is slow as a
// whole and whose targets are waited for in vain.
TEST_CASE("the fastest of the last reports tells what is usual")
{
    struct row
    {
        const char* name;
        /// Reported in turn, every 10 ms.
        std::vector<double> pattern;
        duration reported_for;
        duration asked_after;
        double usual;
    };
    const std::vector<row> rows = {
        {"nothing reported", {}, 0ms, 0ms, 1},    {"one of four is fast", {5, 5, 1, 5}, 2s, 1ms, 1},
        {"all are slow", {5, 4}, 2s, 1ms, 4},     {"all are fast", {0.5}, 2s, 1ms, 1},
        {"too few are slow", {5}, 150ms, 1ms, 1}, {"the last reports are old", {5}, 2s, 1100ms, 1}};
    for (const row& each : rows)
    {
        INFO(each.name);
        windowed_min_slowdown fastest;
        time_point now(10s);
        const time_point end = now + each.reported_for;
        for (std::size_t report = 0; now < end; ++report, now += 10ms)
        {
            fastest.add(each.pattern[report % each.pattern.size()], now);
        }
        CHECK(fastest.usual(now + each.asked_after) == Approx(each.usual));
    }
}

// Guards against noise of 150 ms that looks like a slow service, and against a memory that outlasts
// a change of the whole service.
TEST_CASE("a change shows within a second and not sooner than noise lasts")
{
    windowed_min_slowdown fastest;
    time_point now(10s);
    const auto report = [&](double slowdown, duration span)
    {
        for (const time_point end = now + span; now < end; now += 10ms)
        {
            fastest.add(slowdown, now);
        }
    };
    report(1, 2s);
    report(5, 300ms);
    CHECK(fastest.usual(now) == 1);
    report(5, 700ms);
    CHECK(fastest.usual(now) == 5);
    report(1, 10ms);
    CHECK(fastest.usual(now) == 1);
}
