#include <catkintally/core/limits/demand_directory.hpp>
#include <catkintally/core/limits/demand_meter.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

} // namespace

// Guards against reports that are passed on for ever, and against old ones that replace new ones.
TEST_CASE("the newest demand report of each instance counts")
{
    struct row
    {
        const char* name;
        demand_report report;
        bool is_new;
    };
    const std::vector<row> rows = {
        {"first", {.instance = 1, .incarnation = 1, .service = 1, .sequence = 5}, true},
        {"same again", {.instance = 1, .incarnation = 1, .service = 1, .sequence = 5}, false},
        {"earlier", {.instance = 1, .incarnation = 1, .service = 1, .sequence = 4}, false},
        {"later", {.instance = 1, .incarnation = 1, .service = 1, .sequence = 6}, true},
        {"earlier incarnation",
         {.instance = 1, .incarnation = 9, .service = 1, .sequence = 99, .age = 5s},
         false},
        {"next incarnation", {.instance = 1, .incarnation = 2, .service = 1, .sequence = 1}, true},
        {"other service", {.instance = 1, .incarnation = 2, .service = 2, .sequence = 1}, true},
        {"expired",
         {.instance = 2, .incarnation = 1, .service = 1, .sequence = 1, .age = 46s},
         false}};
    demand_directory directory;
    time_point now = start;
    for (const row& each : rows)
    {
        INFO(each.name);
        now += 1s;
        CHECK(directory.merge(each.report, now) == each.is_new);
    }
    CHECK(directory.demands(1).size() == 1);
}

// Guards against shares for instances that have left, and against memory that they take for good.
TEST_CASE("instances that leave or fall silent do not count")
{
    demand_directory directory;
    directory.merge({.instance = 1, .service = 1, .sequence = 1, .per_second = 2}, start);
    directory.merge({.instance = 2, .service = 1, .sequence = 1, .per_second = 2}, start + 20s);
    CHECK(directory.demands(1).size() == 2);
    directory.remove_expired(start + 46s);
    CHECK(directory.demands(1).size() == 1);
    directory.merge({.instance = 2, .service = 1, .sequence = 2, .per_second = -1}, start + 47s);
    CHECK(directory.demands(1).empty());
    directory.remove_expired(start + 93s);
    CHECK(directory.size() == 0);
}

// Guards against a demand that is taken for low because an instance has just started.
TEST_CASE("the demand meter follows the rate of requests")
{
    demand_meter meter;
    time_point now = start;
    for (int count = 0; count < 50; ++count)
    {
        now += 100ms;
        meter.record(now);
    }
    CHECK(meter.per_second(now) == Approx(10).margin(1));
    CHECK(meter.per_second(now + 60s) < 0.1);
}
