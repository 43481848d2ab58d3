#include <catkintally/core/admission/target_estimate.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

namespace
{

target_estimate_inputs inputs(std::uint32_t running, std::uint32_t queued, double slowdown)
{
    target_estimate_inputs out;
    out.load.running = running;
    out.load.queued = queued;
    out.load.slots = 2;
    out.load.slowdown = slowdown;
    return out;
}

} // namespace

// Guards against work that goes to a target where it ends later than at another one.
TEST_CASE("targets are ranked by when one more request would end")
{
    struct row
    {
        const char* name;
        target_estimate_inputs better;
        target_estimate_inputs worse;
    };
    const auto with = [](target_estimate_inputs base, auto change)
    {
        change(base);
        return base;
    };
    const std::vector<row> rows = {
        {"idle before half full", inputs(0, 0, 1), inputs(1, 0, 1)},
        {"half full before full", inputs(1, 0, 1), inputs(2, 0, 1)},
        {"full before queueing", inputs(2, 0, 1), inputs(2, 2, 1)},
        {"full and fast before idle and slow", inputs(2, 0, 1), inputs(0, 0, 5)},
        {"idle and slow before a long queue", inputs(0, 0, 5), inputs(2, 8, 1)},
        {"warm before cold", inputs(0, 0, 1),
         with(inputs(0, 0, 1), [](auto& each) { each.cold = true; })},
        {"own domain before another", inputs(0, 0, 1),
         with(inputs(0, 0, 1), [](auto& each) { each.remote = true; })},
        {"another domain before a busy target", // in the own domain
         with(inputs(0, 0, 1), [](auto& each) { each.remote = true; }), inputs(1, 0, 1)},
        {"requests sent since the report count", inputs(1, 0, 1),
         with(inputs(1, 0, 1), [](auto& each) { each.sent_since_report = 1; })}};
    for (const row& each : rows)
    {
        INFO(each.name);
        CHECK(estimate(each.better).relative_time < estimate(each.worse).relative_time);
    }
}

// Guards against a target that is taken for free although all its slots are busy.
TEST_CASE("a slot is free while fewer requests are there than slots")
{
    struct row
    {
        std::uint32_t running;
        std::uint32_t queued;
        std::uint32_t reported_slots;
        std::uint32_t sent_since_report;
        bool free;
        std::uint32_t waiting;
    };
    const std::vector<row> rows = {
        {0, 0, 2, 0, true, 0},
        {1, 0, 2, 0, true, 0},
        {1, 0, 2, 1, false, 0},
        {2, 0, 2, 0, false, 0},
        {2, 3, 2, 1, false, 4},
        // Without reported slots the table's four count.
        {3, 0, 0, 0, true, 0}};
    for (const row& each : rows)
    {
        target_estimate_inputs in = inputs(each.running, each.queued, 1);
        in.load.slots = each.reported_slots;
        in.slots = 4;
        in.sent_since_report = each.sent_since_report;
        CHECK(estimate(in).free == each.free);
        CHECK(estimate(in).waiting == each.waiting);
    }
}
