#include <catkintally/core/admission/shortage_policy.hpp>

#include "probing_fixture.hpp"

#include <algorithm>
#include <tuple>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// The policy for one service with targets of six slots, and two organisations of equal quotas.
struct policy_fixture
{
    explicit policy_fixture(organisation_usage::fleet_rate rate = {})
        : policy({.seed = 3, .organisation_rate = std::move(rate)})
    {
        request.service = "desk";
        table_snapshot table;
        target_row row;
        row.slots = 6;
        table.services["desk"].targets.push_back(row);
        table.services["other"].targets.push_back(row);
        table.organisations.emplace(2);
        for (std::size_t number : {0, 1})
        {
            organisation_row& added = table.organisations->at(number);
            added.name = number == 0 ? "loud" : "calm";
            added.requests_per_s = 10;
        }
        policy.apply(table);
    }

    shortage_terms admit(std::uint32_t priority, const std::string& organisation = "")
    {
        request.priority = priority;
        request.organisation = organisation;
        return policy.admit(request, now);
    }

    void fill()
    {
        for (int pass = 0; pass < 10; ++pass)
        {
            policy.record_pass("desk", false, now);
        }
    }

    std::uint32_t reserve(std::uint32_t priority)
    {
        const shortage_terms terms = admit(priority);
        return policy.reserve(request, terms, 6, now);
    }

    shortage_policy policy;
    admission_request request;
    time_point now{100s};
};

/// What the gateway decided, with the time that it took.
using decided = std::tuple<decision_code, std::string, duration, duration>;

std::vector<decided>
play(std::uint32_t min_slots, std::uint32_t slots, std::uint32_t priorities, double busy)
{
    probing_fixture fixture(8, {.shortage_min_slots = min_slots});
    fixture.objective = 300ms;
    fixture.set_slots(slots);
    split_mix random(11);
    std::vector<decided> all;
    for (request_id id = 1; id <= 400; ++id)
    {
        for (auto& [name, report] : fixture.reports)
        {
            const bool full = static_cast<double>(random.next() % 100) < 100 * busy;
            report.load->running = full ? slots : static_cast<std::uint32_t>(random.next() % slots);
            report.load->slowdown = random.next() % 10 < 3 ? 5 : 1;
        }
        fixture.priority = static_cast<std::uint32_t>(random.next() % priorities);
        fixture.idempotent = random.next() % 2 == 0;
        fixture.fingerprint = random.next() % 50;
        const time_point begin = fixture.timers.now();
        const admission_answer answer = fixture.decide(id);
        all.emplace_back(
            answer.code, answer.target, fixture.timers.now() - begin, answer.retry_after);
        if (answer.code == decision_code::granted)
        {
            const bool lost = random.next() % 20 == 0;
            fixture.complete(
                id, lost ? completion_outcome::connection_lost : completion_outcome::answered, 200,
                [](completion_report& each) { each.service_time = 50ms; });
        }
    }
    return all;
}

} // namespace

// Guards against deployments that did not ask for the policy and are served differently with it.
TEST_CASE("without the conditions of the shortage policy decisions are the same as without it")
{
    struct row
    {
        const char* name;
        std::uint32_t slots;
        std::uint32_t priorities;
        double busy;
        bool same;
    };
    const auto each = GENERATE(
        row{"few slots, priorities, full targets", 3, 3, 0.95, true},
        row{"one priority, no shortage", 6, 1, 0.1, true},
        row{"several priorities, no shortage", 6, 3, 0.1, true},
        row{"several priorities, full targets", 6, 3, 0.95, false});
    INFO(each.name);
    const auto with = play(4, each.slots, each.priorities, each.busy);
    const auto without = play(1'000'000, each.slots, each.priorities, each.busy);
    CHECK((with == without) == each.same);
}

// Guards against urgent requests that find no slot because less urgent ones have taken all.
TEST_CASE("less urgent requests leave more slots free the shorter the service is")
{
    policy_fixture fixture;
    CHECK(fixture.reserve(1) == 0);
    CHECK(fixture.reserve(0) == 0);
    CHECK(fixture.reserve(4) == 0);
    fixture.fill();
    CHECK(fixture.reserve(1) == 3);
    CHECK(fixture.reserve(4) == 4);
    for (int pass = 0; pass < 10; ++pass)
    {
        fixture.policy.record_pass("desk", true, fixture.now);
    }
    CHECK(fixture.reserve(1) == 2);
    fixture.now += 10s;
    CHECK(fixture.reserve(1) == 0);
}

// Guards against a kind of request or an organisation that gets nothing while the service is short.
TEST_CASE("what is served much less often than the average leaves no slots to others")
{
    policy_fixture fixture;
    for (int request = 0; request < 40; ++request)
    {
        for (const std::uint32_t priority : {0, 1})
        {
            const shortage_terms terms = fixture.admit(priority);
            fixture.policy.record_decision(fixture.request, terms, priority == 0, fixture.now);
        }
    }
    fixture.fill();
    CHECK(fixture.reserve(0) == 0);
    CHECK(fixture.reserve(1) == 0);
    // One that is served more often than a more urgent one leaves all slots.
    for (int request = 0; request < 200; ++request)
    {
        for (const std::uint32_t priority : {0, 1})
        {
            const shortage_terms terms = fixture.admit(priority);
            fixture.policy.record_decision(fixture.request, terms, priority == 1, fixture.now);
        }
    }
    CHECK(fixture.reserve(1) == 6);
}

// Guards against organisations that displace others by sending many times their usual rate, and
// against yielding where only the callers' distribution over the instances is uneven.
TEST_CASE("an organisation yields only with what exceeds its share")
{
    struct row
    {
        const char* name;
        bool surges;
        std::optional<double> fleet_rate;
        bool yields;
    };
    const auto each = GENERATE(
        row{"surge at this instance", true, std::nullopt, true},
        row{"steady at this instance, however much", false, std::nullopt, false},
        row{"fleet-wide rate over its share", false, 16, true},
        row{"fleet-wide rate within its share", true, 2, false});
    INFO(each.name);
    policy_fixture fixture(
        [&](const std::string& organisation) {
            return each.fleet_rate && organisation == "calm" ? std::optional(2.0) : each.fleet_rate;
        });
    for (int step = 0; step < 600; ++step)
    {
        fixture.now += 100ms;
        (void)fixture.admit(0, "calm");
        for (int request = 0; request < (each.surges && step < 570 ? 1 : 8); ++request)
        {
            (void)fixture.admit(0, "loud");
        }
    }
    fixture.fill();
    int excess = 0;
    for (int request = 0; request < 100; ++request)
    {
        excess += fixture.admit(0, "loud").excess ? 1 : 0;
        CHECK_FALSE(fixture.admit(0, "calm").excess);
    }
    CHECK((excess > 40) == each.yields);
    CHECK(excess < 95);
}

// Guards against work that ends after its caller has gone, late responses that displace punctual
// ones, and callers that all return at once or are refused again when they return.
TEST_CASE("the terms of a request follow from its remaining time and its rank")
{
    policy_fixture fixture;
    admission_request& request = fixture.request;
    request.objective_left = 800ms;
    (void)fixture.admit(0);
    (void)fixture.admit(1);
    fixture.policy.record_work("desk", 1, 300ms, false);
    request.deadline_left = 100ms;
    CHECK_FALSE(fixture.admit(1).refused);
    fixture.fill();
    CHECK(fixture.admit(1).refused);
    request.deadline_left = 4s;
    CHECK(fixture.admit(1).probing_time == duration(350ms));
    CHECK(fixture.admit(1).rank == 1);

    request.retry = true;
    request.objective_left = 200ms;
    CHECK(fixture.admit(1).probing_time == duration::zero());
    CHECK(fixture.admit(1).rank == 2);

    request.retry = false;
    request.fingerprint = 5;
    const shortage_terms refused = fixture.admit(1);
    const duration after = fixture.policy.retry_after(request, refused, 200ms, fixture.now);
    CHECK(after == 500ms);
    fixture.now += 100ms;
    CHECK(fixture.admit(1).rank == 1);
    fixture.now += 400ms;
    fixture.fill();
    CHECK(fixture.admit(1).rank == 0);
    CHECK(fixture.admit(1).rank == 1);

    // A request that draws another service of a split on its return leaves its place at this one.
    (void)fixture.policy.retry_after(request, refused, 200ms, fixture.now);
    fixture.now += 500ms;
    fixture.fill();
    request.service = "other";
    (void)fixture.admit(1);
    request.service = "desk";
    CHECK(fixture.admit(1).rank == 0);
}
