#include <admission/admission_fixture.hpp>

#include <catkintally/core/admission/split_mix.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Drives a fixture with pseudo-random events and returns its decisions as text. `check` runs after
/// each event.
std::string random_run(std::uint64_t seed, const std::function<void(admission_fixture&)>& check)
{
    admission_fixture fixture(4, 3, seed, [](service_row& row) { row.queue_limit = 20; });
    split_mix random(seed);
    request_id next = 1;
    for (int step = 0; step < 4'000; ++step)
    {
        const std::uint64_t draw = random.next() % 100;
        const auto granted = fixture.granted.begin();
        if (draw < 45)
        {
            fixture.submit(admission_fixture::request(next++, 400ms, random.next() % 50 + 1));
        }
        else if (draw < 90 && granted != fixture.granted.end())
        {
            const std::uint64_t kind = random.next() % 20;
            const auto outcome = kind < 6 ? completion_outcome(kind) : completion_outcome::answered;
            fixture.complete(granted->first, outcome);
        }
        else if (draw < 93 && granted != fixture.granted.end())
        {
            const request_id id = granted->first;
            fixture.granted.erase(granted);
            fixture.admission.cancel(id);
        }
        else if (draw < 95)
        {
            const bool out = random.next() % 2 == 0;
            fixture.set_domain("d1", out ? domain_state::out : domain_state::in);
        }
        else
        {
            fixture.timers.advance(duration(random.next() % 20'000));
        }
        check(fixture);
    }
    std::string text;
    for (const admission_decision& decision : fixture.decisions)
    {
        text += std::to_string(decision.id) +
                catkintally::wire::EnumNamedecision_code(decision.code) + decision.target +
                std::to_string(decision.retry_after.count()) + "\n";
    }
    return text;
}

} // namespace

// Guards against an order of events that exceeds the limit of a cold target, or sends requests to a
// target that is out.
TEST_CASE("no order of events exceeds a limit or grants a target that is out")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    std::size_t checked = 0;
    random_run(
        seed,
        [&](admission_fixture& fixture)
        {
            for (; checked < fixture.decisions.size(); ++checked)
            {
                const admission_decision& decision = fixture.decisions[checked];
                if (decision.code != decision_code::granted)
                {
                    continue;
                }
                const target_dump target = fixture.target(decision.target);
                CAPTURE(checked, target.name, static_cast<int>(target.phase));
                CHECK(target.available);
                // The grant belongs to the event just processed, so the limit cannot have fallen
                // since, except by a success that allowed a later grant of the same event.
                CHECK(target.in_flight <= target.limit);
            }
        });
    CHECK(checked > 500);
}

// Guards against decisions that depend on memory addresses, hash order or the real clock.
TEST_CASE("the same seed and events give the same decisions")
{
    const auto no_check = [](admission_fixture&) {};
    CHECK(random_run(42, no_check) == random_run(42, no_check));
    CHECK(random_run(42, no_check) != random_run(43, no_check));
}

// Guards against requests sent to targets that operators took out, and against queued requests that
// keep waiting for them.
TEST_CASE("a target that operators took out gets no requests, queued ones go to other targets")
{
    const std::string reason = GENERATE("domain", "draining", "weight", "removed");
    admission_fixture fixture(2, 1, 1, [](service_row& row) { row.ahead = 0; });
    fixture.warm_up();
    REQUIRE(fixture.submit(1));
    REQUIRE(fixture.submit(2));
    const request_id on_t1 = fixture.granted.at(1) == "t1" ? 1 : 2;
    REQUIRE_FALSE(fixture.submit(3));
    const service_config before = fixture.config;
    if (reason == "domain")
    {
        fixture.set_domain("d1", domain_state::out);
    }
    else if (reason == "draining")
    {
        fixture.config.targets[1].state = target_admin_state::draining;
    }
    else if (reason == "weight")
    {
        fixture.config.targets[1].weight = 0;
    }
    else
    {
        fixture.config.targets.pop_back();
    }
    fixture.apply();
    fixture.complete(on_t1);
    CHECK_FALSE(fixture.granted.contains(3));
    fixture.complete(3 - on_t1);
    CHECK(fixture.granted.at(3) == "t0");

    // The row comes back cold.
    fixture.config = before;
    fixture.set_domain("d1", domain_state::in);
    CHECK(fixture.target("t1").phase == target_phase::cold);
    CHECK(fixture.target("t1").limit == 1);
}

// Guards against callers that wait until their deadline although no target can serve them.
TEST_CASE("queued requests are refused when the last usable target is taken out")
{
    admission_fixture fixture(1);
    REQUIRE(fixture.submit(1));
    REQUIRE_FALSE(fixture.submit(2));
    fixture.set_domain("d0", domain_state::out);
    CHECK(fixture.last_code() == decision_code::refused_no_target);
    CHECK(fixture.decisions.back().id == 2);
    CHECK_FALSE(fixture.submit(3));
    CHECK(fixture.last_code() == decision_code::refused_no_target);
}

// Guards against losing the requests in flight of a removed row, which would overload the cold
// target when the row returns.
TEST_CASE("requests in flight on a removed target count when its row returns")
{
    admission_fixture fixture(1);
    REQUIRE(fixture.submit(1));
    const auto rows = fixture.config.targets;
    fixture.config.targets.clear();
    fixture.apply();
    fixture.config.targets = rows;
    fixture.apply();
    CHECK_FALSE(fixture.submit(2));
    fixture.complete(1);
    CHECK(fixture.granted.contains(2));
}

// Guards against queueing requests that cannot finish in time, and against reporting overload only
// at the deadline.
TEST_CASE("a request that cannot finish before its deadline is refused at once")
{
    struct row
    {
        request_id queued;
        duration deadline;
        std::uint32_t queue_limit;
        decision_code expected;
        bool retry_after;
    };
    const auto [queued, deadline, queue_limit, expected, retry_after] = GENERATE(
        row{0, 5ms, 10, decision_code::refused_deadline, false},
        row{8, 25ms, 10, decision_code::refused_deadline, true},
        row{8, 1s, 8, decision_code::refused_queue_full, true},
        row{8, 1s, 9, decision_code::granted, false});
    admission_fixture fixture(
        1, 2, 1, [limit = queue_limit](service_row& edited) { edited.queue_limit = limit; });
    fixture.warm_up();
    for (request_id id = 1; id <= 3; ++id)
    {
        REQUIRE(fixture.submit(id));
    }
    for (request_id id = 100; id < 100 + queued; ++id)
    {
        REQUIRE_FALSE(fixture.submit(id));
    }
    fixture.decisions.clear();
    fixture.submit(admission_fixture::request(500, deadline));
    if (expected == decision_code::granted)
    {
        CHECK(fixture.decisions.empty());
        return;
    }
    REQUIRE(fixture.decisions.size() == 1);
    CHECK(fixture.last_code() == expected);
    CHECK((fixture.decisions.back().retry_after > 0ms) == retry_after);
}

// Guards against a queued request that is never answered because no event occurs, and against
// orders granted so late that their deadline passes while they run, which makes their outcome
// unknown instead of not run.
TEST_CASE("a queued request is refused as soon as its deadline cannot be met")
{
    struct row
    {
        bool idempotent;
        duration deadline;
        duration waits;
        duration refused_after;
    };
    const auto [idempotent, deadline, waits, refused_after] =
        GENERATE(row{true, 60ms, 45ms, 55ms}, row{false, 200ms, 100ms, 130ms});
    admission_fixture fixture(1);
    fixture.warm_up();
    for (request_id id = 1; id <= 3; ++id)
    {
        REQUIRE(fixture.submit(id));
    }
    auto request = admission_fixture::request(9, deadline);
    request.idempotent = idempotent;
    fixture.submit(request);
    fixture.timers.advance(waits);
    CHECK(fixture.decisions.size() == 3);
    fixture.timers.advance(refused_after - waits);
    REQUIRE(fixture.decisions.size() == 4);
    CHECK(fixture.last_code() == decision_code::refused_deadline);
}

// Guards against retries that amplify an overload, and against a budget that never admits a retry.
TEST_CASE("retries stay within their percentage of the admitted requests")
{
    const std::size_t percent = GENERATE(0U, 10U, 50U);
    admission_fixture fixture(
        4, 2, 1,
        [percent](service_row& row)
        { row.retry_budget_percent = static_cast<std::uint32_t>(percent); });
    fixture.warm_up();
    std::size_t admitted = 0;
    for (request_id id = 1; id <= 200; ++id)
    {
        fixture.submit(2 * id);
        fixture.complete(2 * id);
        admission_request retry = admission_fixture::request(2 * id + 1);
        retry.retry = true;
        if (fixture.submit(retry))
        {
            ++admitted;
            fixture.complete(retry.id);
        }
        else
        {
            CHECK(fixture.last_code() == decision_code::refused_retry_budget);
        }
    }
    // The warm-up added at most `percent` retry tokens, the credit of 100 requests.
    CHECK(admitted >= percent * 2);
    CHECK(admitted <= percent * 3);
}

// Guards against a retry to the target or failure domain that just failed.
TEST_CASE("a retry goes to another target, preferably in another failure domain")
{
    admission_fixture fixture(4);
    fixture.warm_up();
    // Among equal targets, the caller's own failure domain is preferred.
    REQUIRE(fixture.submit(1));
    const std::string first = fixture.granted.at(1);
    CHECK(fixture.target(first).failure_domain == "d0");
    fixture.complete(1, completion_outcome::not_run);
    admission_request retry = admission_fixture::request(1);
    retry.retry = true;
    retry.excluded_targets = {first};
    REQUIRE(fixture.submit(retry));
    CHECK(fixture.target(fixture.granted.at(1)).failure_domain == "d1");
}

// Guards against load sharing that ignores the weight column.
TEST_CASE("load is shared in proportion to slots and weight")
{
    admission_fixture fixture(2, 4, 1, [](service_row& row) { row.ahead = 0; });
    fixture.config.targets[0].weight = 300;
    fixture.apply();
    fixture.warm_up();
    for (request_id id = 1; id <= 4; ++id)
    {
        REQUIRE(fixture.submit(id));
    }
    CHECK(fixture.target("t0").in_flight == 3);
    CHECK(fixture.target("t1").in_flight == 1);
}

// Guards against a place that is never released because the instance died before its completion.
TEST_CASE("a place without a completion is released after its deadline, not before")
{
    admission_fixture fixture(1);
    REQUIRE(fixture.submit(admission_fixture::request(1, 1s)));
    REQUIRE_FALSE(fixture.submit(2));
    fixture.timers.advance(1400ms);
    CHECK_FALSE(fixture.granted.contains(2));
    fixture.timers.advance(200ms);
    CHECK(fixture.granted.contains(2));
    CHECK(fixture.admission.dump().places_expired == 1);
}

// Guards against repeated or late messages that acquire or release a place twice.
TEST_CASE("repeated requests and late completions have no effect")
{
    admission_fixture fixture(2, 1, 1, [](service_row& row) { row.ahead = 0; });
    REQUIRE(fixture.submit(1));
    const std::string first = fixture.granted.at(1);
    fixture.submit(1);
    CHECK(fixture.decisions.size() == 2);
    CHECK(fixture.decisions[1].target == first);
    CHECK(fixture.target(first).in_flight == 1);

    // The same id at another target; the report of the first attempt arrives afterwards.
    fixture.complete(1, completion_outcome::not_run);
    admission_request retry = admission_fixture::request(1);
    retry.excluded_targets = {first};
    REQUIRE(fixture.submit(retry));
    const std::string second = fixture.granted.at(1);
    fixture.admission.complete(report_of(1, first));
    CHECK(fixture.target(second).in_flight == 1);
}

// Guards against a recovered owner that overloads targets that were cold or busy under the previous
// owner.
TEST_CASE("recovery restores requests in flight and phases, afterwards only colder phases")
{
    admission_fixture fixture(2);
    fixture.admission.restore_phase("t0", target_phase::warm, 2);
    fixture.admission.restore_phase("t0", target_phase::cold, 1);
    fixture.admission.restore_phase("t0", target_phase::warm, 2);
    CHECK(fixture.target("t0").phase == target_phase::cold);
    fixture.admission.restore_grant(77, "t0", 2s);
    fixture.admission.restore_grant(77, "t0", 2s);
    fixture.admission.restore_grant(78, "gone", 2s);
    CHECK(fixture.target("t0").in_flight == 1);

    // t1 is cold and blocked: no target is free before the block ends.
    fixture.admission.block_cold_until(fixture.timers.now() + 1s);
    CHECK_FALSE(fixture.submit(1));
    CHECK(fixture.decisions.empty());
    CHECK_FALSE(fixture.submit(admission_fixture::request(2, 500ms)));
    CHECK(fixture.last_code() == decision_code::refused_no_target);
    fixture.timers.advance(1s);
    CHECK(fixture.granted.at(1) == "t1");
    fixture.admission.complete(report_of(77, "t0"));
    CHECK(fixture.target("t0").in_flight == 0);
}

// Guards against losing queued requests when the service moves to another owner.
TEST_CASE("handover returns the queue with the remaining deadlines")
{
    admission_fixture fixture(1);
    fixture.submit(1);
    fixture.submit(2);
    fixture.timers.advance(1s);
    const auto queued = fixture.admission.take_queue();
    REQUIRE(queued.size() == 1);
    CHECK(queued[0].id == 2);
    CHECK(queued[0].deadline_left == 4s);
    CHECK(fixture.admission.dump().queued_front == 0);
}

// Guards against probes beyond the budget, and against probes of targets that have traffic.
TEST_CASE("probes stay within the budget and go only to targets without traffic")
{
    const std::size_t budget = GENERATE(0U, 1U, 3U);
    admission_fixture fixture(
        8, 2, 1,
        [budget](service_row& row)
        { row.probe_budget_per_s = static_cast<std::uint32_t>(budget); });
    fixture.warm_up();
    fixture.probes.clear();
    REQUIRE(fixture.submit(admission_fixture::request(1, 60s)));
    const std::string busy = fixture.granted.at(1);
    fixture.timers.advance(1s);
    CHECK(fixture.probes.empty());
    fixture.timers.advance(20s);
    CHECK(fixture.probes.size() <= budget * 21);
    CHECK(fixture.probes.size() >= budget * 19);
    CHECK(std::count(fixture.probes.begin(), fixture.probes.end(), busy) == 0);
    CHECK((fixture.admission.dump().probes_delayed > 0) == (budget > 0));
}
