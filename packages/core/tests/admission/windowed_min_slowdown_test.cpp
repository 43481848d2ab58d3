#include <catkintally/core/admission/windowed_min_slowdown.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against taking transient slowdowns for the speed of the service, and against waiting for
// faster targets when the whole service is slow.
TEST_CASE("the slowdown of a service is the lowest of its recent reports")
{
    struct row
    {
        const char* name;
        /// Slowdowns reported in turn, one every 10 ms.
        std::vector<double> pattern;
        duration report_duration;
        duration query_delay;
        double expected;
    };
    const std::vector<row> rows = {
        {"no reports", {}, 0ms, 0ms, 1},         {"one of four is fast", {5, 5, 1, 5}, 2s, 1ms, 1},
        {"all are slow", {5, 4}, 2s, 1ms, 4},    {"all are fast", {0.5}, 2s, 1ms, 1},
        {"too few reports", {5}, 150ms, 1ms, 1}, {"the last reports are old", {5}, 2s, 1100ms, 1}};
    for (const row& each : rows)
    {
        INFO(each.name);
        windowed_min_slowdown slowdown_window;
        time_point now(10s);
        const time_point end = now + each.report_duration;
        for (std::size_t report = 0; now < end; ++report, now += 10ms)
        {
            slowdown_window.add(each.pattern[report % each.pattern.size()], now);
        }
        CHECK(slowdown_window.service_slowdown(now + each.query_delay) == Approx(each.expected));
    }
}

// Guards against taking a transient slowdown of 150 ms for a slow service, and against old reports
// that hide a change of the whole service.
TEST_CASE("a change of the service shows within a second, a transient slowdown does not")
{
    windowed_min_slowdown slowdown_window;
    time_point now(10s);
    const auto report = [&](double slowdown, duration span)
    {
        for (const time_point end = now + span; now < end; now += 10ms)
        {
            slowdown_window.add(slowdown, now);
        }
    };
    report(1, 2s);
    report(5, 300ms);
    CHECK(slowdown_window.service_slowdown(now) == 1);
    report(5, 700ms);
    CHECK(slowdown_window.service_slowdown(now) == 5);
    report(1, 10ms);
    CHECK(slowdown_window.service_slowdown(now) == 1);
}
