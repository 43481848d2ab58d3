#include "probing_fixture.hpp"

#include <catkintally/core/admission/hedge_policy.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// A policy that knows a service whose requests usually take `usual`.
hedge_policy policy_with(duration usual)
{
    hedge_policy policy({.min_slots = 4});
    for (int i = 0; i < 50; ++i)
    {
        policy.note_decision("desk", 2ms, true);
        policy.note_answer("desk", usual);
    }
    return policy;
}

} // namespace

// Guards against a second request whose answer would come after the objective, and against hedging
// where the deployment does not ask for it.
TEST_CASE("a request is hedged only if the second answer can be in time")
{
    struct row
    {
        duration usual;
        std::uint32_t slots;
        duration objective;
        bool hedged;
    };
    const auto sample = GENERATE(values<row>(
        {{250ms, 6, 800ms, true},
         {320ms, 6, 800ms, true},
         {400ms, 6, 800ms, false},
         {250ms, 2, 800ms, false},
         {250ms, 6, 0ms, false}}));
    const hedge_policy policy = policy_with(sample.usual);
    const auto delay = policy.delay("desk", sample.slots, sample.objective);
    CHECK(delay.has_value() == sample.hedged);
    CHECK((!delay || *delay < sample.objective));
    CHECK_FALSE(policy.delay("unknown", sample.slots, sample.objective));
}

// Guards against slow targets that make the usual service time look so long that nothing is hedged.
TEST_CASE("a few slow answers do not move the usual service time much")
{
    hedge_policy policy = policy_with(250ms);
    for (int i = 0; i < 40; ++i)
    {
        policy.note_answer("desk", i % 4 == 0 ? 1250ms : 250ms);
    }
    CHECK(policy.delay("desk", 6, 800ms));
}

// Guards against hedged requests that use up the retries of requests that fail, or slots that first
// requests wait for.
TEST_CASE("hedged requests are few and stop under shortage")
{
    hedge_policy policy = policy_with(250ms);
    int hedged = 0;
    for (int i = 0; i < 1000; ++i)
    {
        policy.note_decision("desk", 2ms, true);
        hedged += policy.take("desk", 1.2) ? 1 : 0;
    }
    CHECK(hedged <= 100);
    CHECK(hedged >= 60);
    CHECK_FALSE(policy.take("desk", 0.9));
    for (int i = 0; i < 100; ++i)
    {
        policy.note_decision("desk", 120ms, i % 3 != 0);
    }
    CHECK_FALSE(policy.take("desk", 1.2));
}

// Load: targets that share their machines, so that a request may start at a fifth of the usual
// speed. Guards against an idempotent request that stays at such a target to its end.
TEST_CASE("a slow idempotent request is reported once, half-way to its objective")
{
    probing_gateway_options options;
    options.hedging.min_slots = 2;
    options.retry_slack = 100;
    probing_fixture fixture(4, options);
    for (target_row& row : fixture.table.services["desk"].targets)
    {
        row.slots = 2;
    }
    fixture.apply();
    fixture.objective = 800ms;
    std::vector<loss_cause> causes;
    request_id id = 0;
    const auto grant = [&]
    {
        REQUIRE(fixture.decide(++id).code == decision_code::granted);
        fixture.gateway.watch(id, [&](loss_cause cause) { causes.push_back(cause); });
        fixture.gateway.may_send(id);
    };
    for (int i = 0; i < 40; ++i)
    {
        grant();
        fixture.timers.advance(250ms);
        fixture.complete(
            id, completion_outcome::answered, 200,
            [](completion_report& report) { report.service_time = 250ms; });
    }
    REQUIRE(causes.empty());
    grant();
    fixture.timers.advance(400ms);
    CHECK(causes.empty());
    fixture.timers.advance(100ms);
    CHECK(causes == std::vector<loss_cause>{loss_cause::slow});
    fixture.timers.advance(2s);
    CHECK(causes.size() == 1);
    CHECK(fixture.probing->ejected_count() == 0);
}
