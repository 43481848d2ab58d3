#include "probing_fixture.hpp"

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against a request that waits until its deadline at a target that lost power, and against
// further requests that follow it there.
TEST_CASE("a request at a target that falls silent is reported as lost")
{
    struct row
    {
        const char* name;
        duration objective;
        duration reported_by;
    };
    // The first check comes when the objective is over; it and two new connections are awaited
    // 20 ms each.
    const auto each = GENERATE(
        row{"with an objective", 400ms, 461ms}, row{"without one", duration::zero(), 261ms});
    INFO(each.name);
    probing_fixture all(2);
    all.objective = each.objective;
    const std::string target = all.decide(1).target;
    int lost = 0;
    all.gateway.watch(1, [&] { ++lost; });
    all.reports.erase(target);
    all.timers.advance(each.reported_by - 2ms);
    CHECK(lost == 0);
    all.timers.advance(2ms);
    CHECK(lost == 1);
    CHECK(all.gateway_object->ejected_count() == 1);
    all.complete(1, completion_outcome::connection_lost, 0);
    CHECK(all.decide(2, true).target != target);
}

// Guards against a watch that outlives its request.
TEST_CASE("a request that has ended is not reported as lost")
{
    probing_fixture all(2);
    const std::string target = all.decide(1).target;
    int lost = 0;
    all.gateway.watch(1, [&] { ++lost; });
    all.complete(1, completion_outcome::answered);
    all.reports.erase(target);
    all.timers.advance(2s);
    CHECK(lost == 0);
}

// Guards against a request that crashes every target that runs it: its caller sends it again.
TEST_CASE("a request that crashes one target after the other is refused")
{
    struct row
    {
        const char* name;
        bool crashes;
        bool answered_between;
        bool refused;
    };
    const auto each = GENERATE(
        row{"crashes", true, false, true}, row{"answers are lost", false, false, false},
        row{"another one was answered", true, true, false});
    INFO(each.name);
    probing_fixture all(8);
    all.fingerprint = 7;
    for (request_id id = 1; id <= 3; ++id)
    {
        const admission_answer granted = all.decide(id);
        REQUIRE(granted.code == decision_code::granted);
        if (each.crashes)
        {
            all.crashed.insert(granted.target);
            all.reports.erase(granted.target);
        }
        all.timers.advance(100ms);
        all.complete(id, completion_outcome::connection_lost, 0);
        all.timers.advance(100ms);
        if (each.answered_between && id == 2)
        {
            REQUIRE(all.decide(20).code == decision_code::granted);
            all.complete(20, completion_outcome::answered);
        }
    }
    CHECK(all.told_crashes.size() == (each.crashes ? 3 : 0));
    CHECK((all.decide(4).code == decision_code::refused_crashing_request) == each.refused);
    CHECK(all.answers.at(4).claim == run_claim::not_run);
    all.fingerprint = 8;
    CHECK(all.decide(5).code == decision_code::granted);
}

// Guards against a request that goes on crashing targets through an instance that has not seen any
// of the crashes itself.
TEST_CASE("crashes that other instances saw count, too")
{
    probing_fixture all(8);
    all.fingerprint = 7;
    const time_point now = all.timers.now();
    for (int crash = 0; crash < 3; ++crash)
    {
        const duration ago = 3s - crash * 1s;
        CHECK(all.gateway_object->note_crash(
            {.fingerprint = 7,
             .target = "x" + std::to_string(crash),
             .sent_at = now - ago - 500ms,
             .crashed_at = now - ago}));
    }
    CHECK(all.decide(1).code == decision_code::refused_crashing_request);
    CHECK(all.gateway_object->note_answered(7));
    CHECK(all.decide(2).code == decision_code::granted);
}
