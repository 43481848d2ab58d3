#include "support/reader_fleet.hpp"

#include <catkintally/core/news/store_outage.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

// Guards against a single failed call that counts as an outage, and against an outage that is
// forgotten or does not end because reports arrive out of order.
TEST_CASE("failures over some time without an answer are an outage")
{
    struct row
    {
        const char* name;
        /// Times of failures; negative ones are of successes.
        std::vector<int> calls_ms;
        bool lasting;
        int returns;
    };
    const std::vector<row> rows = {
        {"one failure", {2000}, false, 0},
        {"one failure and no answer", {500}, true, 0},
        {"one failure and a late answer", {500, -2000}, false, 1},
        {"failures of instances that call together", {1000, 1100, 1250}, false, 0},
        {"failures over a longer time", {1000, 1400}, true, 0},
        {"reported out of order", {1400, 1000}, true, 0},
        {"an answer in between", {1000, -1200, 1400}, false, 0},
        {"an answer ends it", {1000, 1400, -1500, -2000}, false, 1},
        {"an earlier answer is reported late", {1000, 1400, -900}, true, 0},
        {"an earlier failure is reported late", {-2000, 1000, 1400}, false, 0},
        {"a second outage", {1000, 1400, -1500, 3000, 3400, -3500}, false, 2}};
    for (const row& each : rows)
    {
        INFO(each.name);
        store_outage outage;
        int returns = 0;
        for (const int call : each.calls_ms)
        {
            const time_point at{std::chrono::milliseconds(std::abs(call))};
            if (call > 0)
            {
                outage.note_failure(at);
            }
            else
            {
                returns += outage.note_success(at) ? 1 : 0;
            }
        }
        CHECK(outage.is_lasting(time_point(2s)) == each.lasting);
        CHECK(returns == each.returns);
    }
}

// Guards against removed targets that stay in use because the loss of the readers, one time after
// the other and together with an instance that the store rejects, is taken for an outage.
TEST_CASE("the loss of readers is no outage of the store")
{
    const std::size_t size = GENERATE(6, 13, 120);
    const bool rejects_some = GENERATE(false, true);
    const auto interval = GENERATE(200ms, 1700ms, 1900ms, 4s);
    INFO(size << " instances, readers lost every " << interval.count() / 1'000'000 << " ms");
    fleet simulation(size);
    simulation.run(10s);
    for (int round = 0; round < 3 && simulation.crashed.size() + 3 < size; ++round)
    {
        if (rejects_some)
        {
            simulation.rejected.insert("i" + std::to_string(round));
        }
        simulation.crash_readers(0);
        for (const auto end = simulation.timers.now() + interval; simulation.timers.now() < end;)
        {
            simulation.run(10ms);
            CHECK(simulation.away_at() == 0);
        }
    }
    simulation.run(5s);
    CHECK(simulation.returns.empty());
}

// Guards against targets that are dropped after an outage of the store, in which their entries have
// expired, because an instance has not noticed it.
TEST_CASE("every instance notices an outage of the store and its end")
{
    const std::size_t size = GENERATE(1, 3, 13, 120);
    const bool unresponsive = GENERATE(false, true);
    const bool readers_crash = size > 3 && GENERATE(false, true);
    INFO(
        size << " instances" << (unresponsive ? ", unresponsive" : "")
             << (readers_crash ? ", readers crash" : ""));
    fleet simulation(size);
    simulation.run(10s);
    (unresponsive ? simulation.store_unresponsive : simulation.store_down) = true;
    simulation.run(1s);
    if (readers_crash)
    {
        simulation.crash_readers(0);
    }
    // Entries expire after about three seconds at the earliest.
    simulation.run(unresponsive ? 3s : 2s);
    CHECK(simulation.away_at() >= size - simulation.crashed.size());
    (unresponsive ? simulation.store_unresponsive : simulation.store_down) = false;
    simulation.run(4s);
    CHECK(simulation.returns.size() == size - simulation.crashed.size());
    for (const auto& [name, times] : simulation.returns)
    {
        INFO(name);
        CHECK(times == 1);
    }
}
