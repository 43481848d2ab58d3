#include "probing_fixture.hpp"

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Lets the gateway learn the load of a target by a request that is withdrawn.
void observe(probing_fixture& fixture, const std::string& target, load_report load)
{
    fixture.report(target).load = load;
    fixture.submit(1000);
    fixture.timers.advance(2ms);
    if (fixture.answers.erase(1000) == 0)
    {
        fixture.gateway.cancel(1000);
    }
}

} // namespace

// Guards against targets that are ejected, and requests that are refused as crashing, because full
// targets reset connections; and against crashed targets that are taken for full ones.
TEST_CASE("a target that resets a connection because it is full is not treated as failed")
{
    struct row
    {
        const char* name;
        std::uint32_t slots;
        /// Load that the target reports to another request before the reset.
        std::uint32_t running;
        std::uint32_t queued;
        /// Time from that report to the reset.
        duration report_age;
        /// Requests of this instance that are in flight there when the connection is reset.
        std::size_t in_flight;
        bool accepts_connections;
        bool ejected;
        bool crash_recorded;
    };
    const auto each = GENERATE(
        row{"full", 6, 6, 12, 10ms, 1, true, false, false},
        row{"crashed while full", 6, 6, 12, 10ms, 1, false, true, true},
        row{"free", 6, 2, 0, 10ms, 1, true, true, false},
        row{"several in flight, old report", 6, 2, 0, 5s, 4, true, false, false},
        row{"several in flight, recent report", 6, 2, 0, 10ms, 3, true, true, false},
        row{"crashed with several in flight", 6, 2, 0, 5s, 4, false, true, true},
        row{"few slots", 2, 2, 12, 10ms, 1, true, true, false});
    INFO(each.name);
    probing_fixture fixture(1);
    fixture.set_slots(each.slots);
    fixture.fingerprint = 7;
    for (request_id id = 1; id <= each.in_flight; ++id)
    {
        REQUIRE(fixture.decide(id).code == decision_code::granted);
    }
    observe(fixture, "t0", {.running = each.running, .queued = each.queued, .slots = each.slots});
    fixture.timers.advance(each.report_age);
    if (!each.accepts_connections)
    {
        fixture.crashed_targets.insert("t0");
    }
    fixture.complete(1, completion_outcome::connection_lost, 0);
    fixture.timers.advance(2ms);
    CHECK((fixture.probing->ejected_count() == 1) == each.ejected);
    CHECK(fixture.reported_crashes.size() == (each.crash_recorded ? 1 : 0));
    CHECK(fixture.probing->full_resets() == (each.accepts_connections && !each.ejected ? 1 : 0));
}

// Guards against requests that are sent to a full target again at once, and against a target that
// is left out for longer than it takes to have free slots.
TEST_CASE("after a reset because it is full a target is left out for a moment")
{
    probing_fixture fixture(3);
    fixture.set_slots(6);
    const std::string full = fixture.decide(1).target;
    for (auto& [name, report] : fixture.reports)
    {
        report.load->running = 6;
    }
    observe(fixture, full, {.running = 6, .queued = 12, .slots = 6});
    for (auto& [name, report] : fixture.reports)
    {
        report.load->running = 0;
    }
    fixture.complete(1, completion_outcome::connection_lost, 0);
    fixture.report(full).load = load_report{.slots = 6};
    request_id id = 2;
    for (; id < 20; ++id)
    {
        CHECK(fixture.decide(id).target != full);
        fixture.timers.advance(5ms);
        fixture.complete(id, completion_outcome::answered);
    }
    fixture.timers.advance(200ms);
    std::set<std::string> used;
    for (; id < 40; ++id)
    {
        used.insert(fixture.decide(id).target);
        fixture.complete(id, completion_outcome::answered);
    }
    CHECK(used.contains(full));
}

// Guards against a broken target that resets every connection and is taken for a full one for ever.
TEST_CASE("a target that only resets connections is ejected")
{
    probing_fixture fixture(1);
    fixture.set_slots(6);
    request_id id = 0;
    for (; id < 20 && fixture.probing->ejected_count() == 0; ++id)
    {
        fixture.report("t0").load = load_report{.slots = 6};
        REQUIRE(fixture.decide(id).code == decision_code::granted);
        observe(fixture, "t0", {.running = 6, .slots = 6});
        fixture.complete(id, completion_outcome::connection_lost, 0);
        fixture.timers.advance(300ms);
    }
    CHECK(id == 9);
}

// Guards against a request that ends with an unknown outcome because it was sent where a reset was
// likely.
TEST_CASE("a request that may not run twice is not sent to a target known to be full")
{
    struct row
    {
        bool idempotent;
        std::uint32_t slots;
        bool sent;
    };
    const auto each = GENERATE(row{false, 6, false}, row{true, 6, true}, row{false, 2, true});
    INFO("idempotent " << each.idempotent << ", slots " << each.slots);
    probing_fixture fixture(1);
    fixture.set_slots(each.slots);
    fixture.idempotent = each.idempotent;
    REQUIRE(fixture.decide(1).code == decision_code::granted);
    // While the connection is established, another request learns that the target is full.
    observe(fixture, "t0", {.running = each.slots, .queued = 12, .slots = each.slots});
    CHECK(fixture.gateway.may_send(1) == each.sent);
}
