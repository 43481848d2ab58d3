#include "probing_fixture.hpp"

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against targets that are ejected because the key of a caller was withdrawn, or because
// another target answered first, while a connection to them was being established.
TEST_CASE("an attempt that was given up without contact says nothing about its target")
{
    const bool untried = GENERATE(false, true);
    probing_fixture fixture;
    REQUIRE(fixture.decide(1).code == decision_code::granted);
    fixture.complete(
        1, completion_outcome::not_run, 0,
        [&](completion_report& report) { report.untried = untried; });
    CHECK(fixture.probing->ejected_count() == (untried ? 0 : 1));
}

// Guards against a request that waits until its deadline at a target that lost power, and against
// further requests that are sent to the same target.
TEST_CASE("a request at a target that stops responding is reported as lost")
{
    struct row
    {
        const char* name;
        duration objective;
        duration reported_within;
    };
    // The first check starts when the objective has passed. It and two connection attempts time
    // out after 20 ms each.
    const auto each = GENERATE(
        row{"with an objective", 400ms, 461ms}, row{"without one", duration::zero(), 261ms});
    INFO(each.name);
    probing_fixture fixture(2);
    fixture.objective = each.objective;
    const std::string target = fixture.decide(1).target;
    int lost = 0;
    fixture.gateway.watch(1, [&](loss_cause) { ++lost; });
    fixture.reports.erase(target);
    fixture.timers.advance(each.reported_within - 2ms);
    CHECK(lost == 0);
    fixture.timers.advance(2ms);
    CHECK(lost == 1);
    CHECK(fixture.probing->ejected_count() == 1);
    fixture.complete(1, completion_outcome::connection_lost, 0);
    CHECK(fixture.decide(2, true).target != target);
}

// Guards against a request that is taken from a target at work because it was sent only shortly
// before the target reported its load: establishing the connection took longer than the objective.
TEST_CASE("a request is missed at a target only some time after its first byte was sent")
{
    const auto sent_after = GENERATE(0ms, 60ms, 80ms, 81ms, 90ms, 100ms);
    INFO("sent after " << sent_after.count() << " ms");
    probing_fixture fixture(2);
    fixture.objective = 80ms;
    const std::string target = fixture.decide(1).target;
    int lost = 0;
    fixture.gateway.watch(1, [&](loss_cause) { ++lost; });
    // The target answers checks at once and has the request 2 ms after it was sent.
    fixture.timers.schedule_after(sent_after, [&] { CHECK(fixture.gateway.may_send(1)); });
    fixture.timers.schedule_after(
        sent_after + 2ms, [&] { fixture.report(target).load->running = 1; });
    fixture.timers.advance(sent_after + 200ms);
    CHECK(lost == 0);
}

// Guards against a request that is taken for lost, and abandoned, because its target starts anew
// under its name: the new process does not report what the former one still finishes.
TEST_CASE("changes of the table do not count as the loss of a request")
{
    struct row
    {
        const char* name;
        std::function<void(table_snapshot&)> change;
        std::vector<loss_cause> causes;
    };
    const auto first_target = [](table_snapshot& table) -> target_row&
    { return table.services.at("desk").targets.at(0); };
    const std::vector<row> rows = {
        {"drains",
         [=](auto& table) { first_target(table).state = target_admin_state::draining; },
         {}},
        {"leaves", [](auto& table) { table.services.at("desk").targets.clear(); }, {}},
        {"moves to another failure domain",
         [=](auto& table) { first_target(table).failure_domain = "elsewhere"; },
         {}},
        {"service removed", [](auto& table) { table.services.clear(); }, {}},
        {"starts anew",
         [=](auto& table)
         {
             first_target(table).incarnation = 2;
             first_target(table).address = "10.0.0.9:1";
         },
         {loss_cause::target_replaced}}};
    const auto& each = rows.at(GENERATE(range(0, 5)));
    INFO(each.name);
    probing_fixture fixture(1);
    fixture.table.services.at("desk").targets.at(0).incarnation = 1;
    fixture.apply();
    fixture.objective = 80ms;
    const std::string target = fixture.decide(1).target;
    std::vector<loss_cause> causes;
    fixture.gateway.watch(1, [&](loss_cause cause) { causes.push_back(cause); });
    REQUIRE(fixture.gateway.may_send(1));
    fixture.timers.advance(10ms);
    each.change(fixture.table);
    fixture.apply();
    fixture.report(target).load->running = each.causes.empty() ? 1 : 0;
    fixture.timers.advance(600ms);
    CHECK(causes == each.causes);
    CHECK(fixture.probing->ejected_count() == 0);
}

// Guards against a request that is still watched after it has ended.
TEST_CASE("a request that has ended is not reported as lost")
{
    probing_fixture fixture(2);
    const std::string target = fixture.decide(1).target;
    int lost = 0;
    fixture.gateway.watch(1, [&](loss_cause) { ++lost; });
    fixture.complete(1, completion_outcome::answered);
    fixture.reports.erase(target);
    fixture.timers.advance(2s);
    CHECK(lost == 0);
}

// Guards against a request that crashes every target that runs it because its caller sends it again
// after each crash.
TEST_CASE("a request that crashes one target after the other is refused")
{
    struct row
    {
        const char* name;
        bool crashes;
        bool answered_in_between;
        bool refused;
    };
    const auto each = GENERATE(
        row{"crashes", true, false, true}, row{"answers are lost", false, false, false},
        row{"a request in between is answered", true, true, false});
    INFO(each.name);
    probing_fixture fixture(8);
    fixture.fingerprint = 7;
    for (request_id id = 1; id <= 3; ++id)
    {
        const admission_answer granted = fixture.decide(id);
        REQUIRE(granted.code == decision_code::granted);
        if (each.crashes)
        {
            fixture.crashed_targets.insert(granted.target);
            fixture.reports.erase(granted.target);
        }
        fixture.timers.advance(100ms);
        fixture.complete(id, completion_outcome::connection_lost, 0);
        fixture.timers.advance(100ms);
        if (each.answered_in_between && id == 2)
        {
            REQUIRE(fixture.decide(20).code == decision_code::granted);
            fixture.complete(20, completion_outcome::answered);
        }
    }
    CHECK(fixture.reported_crashes.size() == (each.crashes ? 3 : 0));
    CHECK((fixture.decide(4).code == decision_code::refused_crashing_request) == each.refused);
    CHECK(fixture.answers.at(4).claim == run_claim::not_run);
    fixture.fingerprint = 8;
    CHECK(fixture.decide(5).code == decision_code::granted);
}

// Guards against a request that crashes further targets through an instance that has not observed
// any of the crashes itself.
TEST_CASE("crashes that other instances report count towards refusing a request")
{
    probing_fixture fixture(8);
    fixture.fingerprint = 7;
    const time_point now = fixture.timers.now();
    for (int crash = 0; crash < 3; ++crash)
    {
        const duration age = 3s - crash * 1s;
        CHECK(fixture.probing->note_crash(
            {.fingerprint = 7,
             .target = "x" + std::to_string(crash),
             .sent_at = now - age - 500ms,
             .crashed_at = now - age}));
    }
    CHECK(fixture.decide(1).code == decision_code::refused_crashing_request);
    CHECK(fixture.probing->note_answered(7));
    CHECK(fixture.decide(2).code == decision_code::granted);
}
