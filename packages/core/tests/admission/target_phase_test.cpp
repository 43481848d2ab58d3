#include <admission/admission_fixture.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against overloading a new target, and against a target that never becomes warm.
TEST_CASE("a cold target's limit grows by one after as many successes as the limit")
{
    admission_fixture fixture(1, 3);
    request_id id = 1;
    for (const std::uint32_t limit : {1U, 2U})
    {
        for (std::uint32_t success = 0; success < limit; ++success)
        {
            CHECK(fixture.target("t0").phase == target_phase::cold);
            CHECK(fixture.target("t0").limit == limit);
            REQUIRE(fixture.submit(id));
            fixture.complete(id++);
        }
    }
    CHECK(fixture.target("t0").phase == target_phase::warm);
    CHECK(fixture.target("t0").limit == 4);
}

// Guards against a failure that does not reset the limit of a cold target.
TEST_CASE("any failure resets the limit of a cold target to one request")
{
    const auto outcome = GENERATE(
        completion_outcome::answered_error, completion_outcome::connection_lost,
        completion_outcome::not_run, completion_outcome::timed_out);
    admission_fixture fixture(1, 3);
    fixture.submit(1);
    fixture.complete(1);
    REQUIRE(fixture.target("t0").limit == 2);
    fixture.submit(2);
    fixture.complete(2, outcome);
    CHECK(fixture.target("t0").phase == target_phase::cold);
    CHECK(fixture.target("t0").limit == 1);
}

// Guards against a new owner, which has no service time model yet, ejecting healthy targets because
// requests reached them with almost no time left.
TEST_CASE("requests whose deadline passes at once do not eject a target of a new owner")
{
    const auto [elapsed, expected] = GENERATE(table<duration, target_phase>(
        {{5ms, target_phase::cold}, {assumed_late_bound, target_phase::ejected}}));
    admission_fixture fixture(2, 3);
    for (request_id id = 1; id <= 8; ++id)
    {
        REQUIRE(fixture.submit(id));
        fixture.timers.advance(elapsed);
        fixture.complete(id, completion_outcome::timed_out);
    }
    const bool ejected = fixture.target("t0").phase == target_phase::ejected ||
                         fixture.target("t1").phase == target_phase::ejected;
    CHECK(ejected == (expected == target_phase::ejected));
}

// Guards against a warm target that restarts unnoticed and keeps its full limit.
TEST_CASE("a warm target becomes cold again by errors, lost connections or its own report")
{
    struct row
    {
        completion_outcome outcome;
        request_id count;
        std::optional<load_report> load;
        target_phase expected;
    };
    const auto [outcome, count, load, expected] = GENERATE(
        row{completion_outcome::connection_lost, 1, {}, target_phase::cold},
        row{completion_outcome::answered_error, 1, {}, target_phase::warm},
        row{completion_outcome::answered_error, 2, {}, target_phase::cold},
        row{completion_outcome::answered, 1, load_report{.cold = true}, target_phase::cold},
        row{completion_outcome::timed_out, 1, {}, target_phase::warm},
        row{completion_outcome::cancelled, 5, {}, target_phase::warm});
    admission_fixture fixture(1);
    fixture.warm_up();
    for (request_id id = 1; id <= count; ++id)
    {
        fixture.timers.advance(2s);
        REQUIRE(fixture.submit(id));
        fixture.complete(id, outcome, load);
    }
    CHECK(fixture.target("t0").phase == expected);
}

// Guards against requests sent to a target that has become slow: finished requests alone would
// reveal it too late.
TEST_CASE("requests in flight past their expected time mark a target slow")
{
    admission_fixture fixture(2, 2, 1, [](service_row& row) { row.queue_limit = 5; });
    fixture.warm_up();
    for (request_id id = 1; id <= 4; ++id)
    {
        REQUIRE(fixture.submit(id));
    }
    const std::string late_target = fixture.granted.at(1);
    fixture.timers.advance(10ms);
    std::vector<request_id> others;
    for (const auto& [id, target] : fixture.granted)
    {
        if (target != late_target)
        {
            others.push_back(id);
        }
    }
    for (const request_id id : others)
    {
        fixture.complete(id);
    }
    fixture.timers.advance(20ms);
    fixture.submit(5);
    CHECK(fixture.granted.at(5) != late_target);
    CHECK(fixture.target(late_target).phase == target_phase::slow);
    CHECK(fixture.target(late_target).limit == 1);

    // The late requests that caused the phase are ignored; a late one granted since is not.
    std::vector<request_id> late_ids;
    for (const auto& [id, target] : fixture.granted)
    {
        if (target == late_target)
        {
            late_ids.push_back(id);
        }
    }
    for (const request_id id : late_ids)
    {
        fixture.complete(id);
        CHECK(fixture.target(late_target).phase == target_phase::slow);
        CHECK(fixture.target(late_target).limit == 1);
    }
    fixture.timers.advance(1ms);
    admission_request next = admission_fixture::request(6);
    next.excluded_targets = {fixture.granted.at(5)};
    REQUIRE(fixture.submit(next));
    fixture.timers.advance(30ms);
    fixture.complete(6);
    CHECK(fixture.target(late_target).phase == target_phase::cold);
}

// Guards against a slow target that is never used again.
TEST_CASE("a request that finishes in time ends the slow phase")
{
    admission_fixture fixture(1);
    fixture.warm_up();
    fixture.admission.restore_phase("t0", target_phase::slow, 1);
    REQUIRE(fixture.target("t0").limit == 1);
    REQUIRE(fixture.submit(1));
    fixture.timers.advance(9ms);
    fixture.complete(1);
    CHECK(fixture.target("t0").phase == target_phase::warm);
}

// Guards against a target that fails immediately and therefore always looks idle.
TEST_CASE("a target that fails fast attracts no traffic, even if the bound prevents the ejection")
{
    const auto count = GENERATE(1U, 2U);
    admission_fixture fixture(count);
    fixture.warm_up();
    std::uint32_t at_failing = 0;
    request_id id = 1;
    for (int ms = 0; ms < 200; ++ms)
    {
        // One request per ms; t0 fails immediately, the other target takes 10 ms.
        if (fixture.submit(id) && fixture.granted.at(id) == "t0")
        {
            ++at_failing;
            fixture.complete(id, completion_outcome::answered_error);
        }
        ++id;
        fixture.timers.advance(1ms);
        const auto granted = fixture.granted;
        for (const auto& [other, target] : granted)
        {
            if (target == "t0")
            {
                ++at_failing;
                fixture.complete(other, completion_outcome::answered_error);
            }
            else if (other + 10 <= id)
            {
                fixture.complete(other);
            }
        }
    }
    // A healthy target of two slots would have served 40 of them.
    CHECK(at_failing <= 10);
    CHECK(fixture.admission.dump().ejections == (count == 2 ? 1 : 0));
    CHECK((fixture.admission.dump().ejections_prevented > 0) == (count == 1));
}

// Guards against an ejected target that receives requests during its back-off, or never again.
TEST_CASE("trial requests follow an ejection after a doubling back-off")
{
    admission_fixture fixture(2);
    fixture.warm_up();
    auto only_t0 = [](request_id id)
    {
        admission_request request = admission_fixture::request(id, 50ms);
        request.excluded_targets = {"t1"};
        return request;
    };
    request_id id = 1;
    for (; id <= 3; ++id)
    {
        fixture.timers.advance(1s);
        REQUIRE(fixture.submit(only_t0(id)));
        fixture.complete(id, completion_outcome::not_run);
    }
    REQUIRE(fixture.target("t0").phase == target_phase::ejected);
    for (const duration back_off : {1s, 2s, 4s})
    {
        fixture.timers.advance(back_off - 100ms);
        CHECK_FALSE(fixture.submit(only_t0(++id)));
        CHECK(fixture.last_code() == decision_code::refused_no_target);
        CHECK(fixture.decisions.back().retry_after > 0ms);
        fixture.timers.advance(1100ms);
        REQUIRE(fixture.submit(only_t0(++id)));
        CHECK_FALSE(fixture.submit(only_t0(id + 1)));
        fixture.admission.cancel(++id);
        fixture.complete(id - 1, completion_outcome::not_run);
    }
    fixture.timers.advance(10s);
    REQUIRE(fixture.submit(only_t0(++id)));
    fixture.complete(id);
    CHECK(fixture.target("t0").phase == target_phase::cold);
    CHECK(fixture.target("t0").limit == 1);
}

// Guards against a correlated failure (a bad release, a broken dependency) that ejects everything.
TEST_CASE("at most half of the targets are ejected at the same time")
{
    const auto [count, expected] =
        GENERATE(table<std::size_t, std::size_t>({{1, 0}, {2, 1}, {3, 1}, {8, 4}}));
    admission_fixture fixture(count);
    fixture.warm_up();
    for (request_id id = 1; id < 400; ++id)
    {
        if (fixture.submit(id))
        {
            fixture.complete(id, completion_outcome::not_run);
        }
        fixture.admission.cancel(id);
        fixture.timers.advance(2ms);
    }
    std::size_t ejected = 0;
    for (const target_dump& target : fixture.admission.dump().targets)
    {
        ejected += target.phase == target_phase::ejected ? 1 : 0;
    }
    CHECK(ejected == expected);
}

// Guards against requests sent to a target that reports draining, and against a target that stays
// excluded after such a report.
TEST_CASE("a target that reports draining gets no requests until a probe reports otherwise")
{
    admission_fixture fixture(1);
    fixture.warm_up();
    fixture.submit(1);
    fixture.complete(1, completion_outcome::answered, load_report{.draining = true});
    CHECK_FALSE(fixture.submit(admission_fixture::request(2, 30s)));
    CHECK(fixture.target("t0").reports_draining);
    fixture.admission.complete(report_of(0, "t0", completion_outcome::answered, load_report{}));
    CHECK(fixture.granted.contains(2));
    CHECK(fixture.target("t0").phase == target_phase::cold);
}
