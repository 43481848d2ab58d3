#include "support/fleet_harness.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace catkintally::core::test;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> three_domains{"a", "b", "c", "a", "b", "c"};

} // namespace

// Guards against a resumed owner that goes on granting from the state before its pause.
TEST_CASE("an owner paused past its lease grants nothing and rejoins as a new incarnation")
{
    fleet_harness fleet;
    fleet.start(three_domains);
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    const std::size_t caller = fleet.other({owner, fleet.witness()});
    CHECK(fleet.call_and_wait(caller, "order-1").ran);
    const member_id earlier = fleet.nodes[owner]->self.id;
    fleet.nodes[owner]->timers->pause();
    const auto at_paused = fleet.call(owner, "order-1");
    const auto idempotent_at_paused = fleet.call(owner, {}, true);
    fleet.advance(4s);
    CHECK(fleet.owner() != owner);
    CHECK(fleet.call_and_wait(caller, "order-2").ran);

    fleet.nodes[owner]->timers->resume();
    // The first decisions after the resumption use no lease from before the pause.
    CHECK_FALSE(fleet.nodes[owner]->fleet->lease());
    fleet.advance(3s);
    CHECK(fleet.nodes[owner]->fleet->ready());
    CHECK(fleet.nodes[owner]->self.id.incarnation != earlier.incarnation);
    CHECK(at_paused->result);
    CHECK(idempotent_at_paused->result);
    CHECK(fleet.call_and_wait(owner, "order-2").answer.code == decision_code::key_already_run);
    fleet.check_invariants();
}

// Guards against a second run when a dispatcher stops between its check and the first byte.
TEST_CASE("a dispatcher paused between check and send runs its key once")
{
    fleet_harness fleet;
    fleet.start(three_domains);
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    const std::size_t dispatcher = fleet.other({owner, fleet.witness()});
    const std::size_t caller = fleet.other({owner, fleet.witness(), dispatcher});
    fleet.before_send = [&](const caller_request& request) -> std::optional<duration>
    {
        if (request.node != dispatcher)
        {
            return std::nullopt;
        }
        fleet.nodes[dispatcher]->timers->pause();
        return 1ms;
    };
    const bool owner_dies = GENERATE(false, true);
    const auto first = fleet.call(dispatcher, "order-1");
    fleet.advance(50ms);
    CHECK(fleet.call_and_wait(caller, "order-1").answer.claim == run_claim::in_progress);
    if (owner_dies)
    {
        fleet.kill(owner);
    }
    fleet.advance(3s);
    // The dispatcher is removed by now; whether the request runs is unknown.
    const caller_result second = fleet.call_and_wait(caller, "order-1");
    CHECK(second.answer.claim == run_claim::unknown);
    CHECK(fleet.targets.key_runs("order-1") == 0);
    fleet.nodes[dispatcher]->timers->resume();
    fleet.advance(3s);
    CHECK(first->result);
    CHECK(fleet.targets.key_runs("order-1") == 1);
    CHECK(fleet.call_and_wait(caller, "order-1").answer.code == decision_code::key_already_run);
    fleet.check_invariants();
}

// Guards against a fleet that needs the store for anything but changes of the view.
TEST_CASE("while the store is down, owners go on and a lost owner stops only orders")
{
    fleet_harness fleet;
    fleet.start(three_domains);
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    const std::size_t caller = fleet.other({owner, fleet.witness()});
    fleet.store.outage = true;
    fleet.advance(10s);
    for (int i = 0; i < 40; ++i)
    {
        CHECK(fleet.call_and_wait(caller, "order-" + std::to_string(i)).ran);
        const auto lookup = fleet.call(fleet.other({owner}), {}, true);
        fleet.advance(20ms);
        REQUIRE(lookup->result);
        CHECK(lookup->result->ran);
    }

    fleet.kill(owner);
    fleet.advance(1s);
    const auto order = fleet.call(caller, "order-new");
    const auto lookup = fleet.call(caller, {}, true);
    fleet.advance(500ms);
    REQUIRE(lookup->result);
    CHECK(lookup->result->ran);
    fleet.advance(3s);
    REQUIRE(order->result);
    CHECK(order->result->answer.code == decision_code::refused_no_owner);
    CHECK(order->result->answer.claim == run_claim::attempt_not_run);

    // A fresh instance gets no membership without the store, so it serves nothing.
    const std::size_t fresh = fleet.start_node("a");
    fleet.advance(2s);
    CHECK_FALSE(fleet.nodes[fresh]->fleet->ready());

    fleet.store.outage = false;
    fleet.advance(3s);
    CHECK(fleet.nodes[fresh]->fleet->ready());
    CHECK(fleet.call_and_wait(caller, "order-new").ran);
    CHECK(fleet.call_and_wait(caller, "order-1").answer.code == decision_code::key_already_run);
    fleet.check_invariants();
}

// Guards against the claim "not run" for a key whose records are lost.
TEST_CASE("after the loss of owner and witness, unknown keys have an unknown outcome")
{
    fleet_harness fleet;
    fleet.table = desk_table();
    fleet.table.services["desk"].service.key_retention_ms = 20'000;
    fleet.start(three_domains);
    const std::size_t owner = fleet.owner();
    const std::size_t witness = fleet.witness();
    const std::size_t dispatcher = fleet.other({owner, witness});
    CHECK(fleet.call_and_wait(dispatcher, "order-1").ran);
    CHECK(fleet.call_and_wait(owner, "order-2").ran);
    fleet.kill(owner);
    fleet.kill(witness);
    fleet.advance(2s);
    // The record of a living dispatcher is found; the one of the lost owner is not.
    CHECK(fleet.call_and_wait(dispatcher, "order-1").answer.code == decision_code::key_already_run);
    const caller_result lost = fleet.call_and_wait(dispatcher, "order-2");
    CHECK(lost.answer.code == decision_code::key_outcome_unknown);
    CHECK(lost.answer.claim == run_claim::unknown);
    const auto lookup = fleet.call(dispatcher, {}, true);
    fleet.advance(6s);
    REQUIRE(lookup->result);
    CHECK(lookup->result->ran);

    // A further change of the epoch does not make the incomplete records complete.
    fleet.kill(fleet.owner());
    fleet.advance(2s);
    const std::size_t left = fleet.other({});
    CHECK(fleet.call_and_wait(left, "order-2").answer.code == decision_code::key_outcome_unknown);
    // After the retention time the service is whole again.
    fleet.advance(22s);
    CHECK(fleet.call_and_wait(left, "order-3").ran);
    fleet.check_invariants();
}

// Guards against owner and witness in the same failure domain.
TEST_CASE("the loss of a whole failure domain keeps the keys proven")
{
    fleet_harness fleet;
    fleet.start(three_domains);
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    const std::string domain = fleet.nodes[owner]->self.failure_domain;
    const std::size_t caller = fleet.witness();
    REQUIRE(fleet.nodes[caller]->self.failure_domain != domain);
    CHECK(fleet.call_and_wait(caller, "order-1").ran);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
    {
        if (fleet.nodes[i]->self.failure_domain == domain)
        {
            fleet.kill(i);
        }
    }
    fleet.advance(1500ms);
    CHECK(fleet.call_and_wait(caller, "order-1").answer.code == decision_code::key_already_run);
    CHECK(fleet.call_and_wait(caller, "order-2").ran);
    fleet.check_invariants();
}

// Guards against two owners that both grant during a partition.
TEST_CASE("an owner that is cut off stops granting before the others take over")
{
    const bool store_too = GENERATE(false, true);
    fleet_harness fleet;
    fleet.start(three_domains);
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    const std::size_t caller = fleet.other({owner, fleet.witness()});
    CHECK(fleet.call_and_wait(owner, "order-1").ran);
    fleet.isolate(owner);
    fleet.nodes[owner]->store->cut = store_too;
    const auto at_old_owner = fleet.call(owner, "order-2");
    fleet.advance(400ms);
    CHECK_FALSE(fleet.nodes[owner]->fleet->lease());
    const auto later_at_old_owner = fleet.call(owner, "order-3");
    fleet.advance(1s);
    CHECK(fleet.owner() != owner);
    CHECK(fleet.call_and_wait(caller, "order-3").ran);
    CHECK(fleet.call_and_wait(caller, "order-1").answer.code == decision_code::key_already_run);
    fleet.advance(3s);
    CHECK(at_old_owner->result);
    REQUIRE(later_at_old_owner->result);
    CHECK_FALSE(later_at_old_owner->result->ran);
    CHECK(later_at_old_owner->result->answer.claim != run_claim::not_run);
    // The isolated instance does not remove the others.
    CHECK(fleet.stored_view().members.size() >= 5);
    fleet.isolate(owner, false);
    fleet.nodes[owner]->store->cut = false;
    fleet.advance(4s);
    CHECK(fleet.nodes[owner]->fleet->ready());
    CHECK(fleet.stored_view().members.size() == 6);
    fleet.check_invariants();
}

// Guards against two owners that each give a cold target its one place: the instance that reaches
// the store removes the majority, which hears itself but neither the store nor that instance.
TEST_CASE("a cold target keeps its limit when a minority with the store removes the majority")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b", "a"});
    const std::size_t owner = fleet.owner();
    const std::size_t alone = fleet.other({owner, fleet.witness()});
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index)
    {
        fleet.nodes[index]->store->cut = index != alone;
    }
    fleet.isolate(alone);
    fleet.work = 900ms;
    // Targets of the harness run past a request's deadline, unlike real ones, so the sides are
    // compared by time instead of by the number of requests that run.
    std::optional<time_point> last_of_majority;
    std::optional<time_point> first_of_minority;
    fleet.before_send = [&](const caller_request& request) -> std::optional<duration>
    {
        if (request.node != alone)
        {
            last_of_majority = fleet.clock.now();
        }
        else if (!first_of_minority)
        {
            first_of_minority = fleet.clock.now();
        }
        return std::nullopt;
    };
    for (int round = 0; round < 60; ++round)
    {
        fleet.call(owner, {}, true);
        fleet.call(alone, {}, true);
        fleet.advance(200ms);
    }
    CHECK(fleet.stored_view().members.size() == 1);
    REQUIRE(last_of_majority);
    REQUIRE(first_of_minority);
    CHECK(*last_of_majority + fleet.work < *first_of_minority);
}

// Guards against a refusal that calls a keyed request not run although an owner that missed a
// takeover cannot know that.
TEST_CASE("the refusal of a keyed request speaks for its sending only")
{
    const auto [key, claim] = GENERATE(table<std::string, run_claim>(
        {{"order-1", run_claim::attempt_not_run}, {"", run_claim::not_run}}));
    fleet_harness fleet;
    fleet.start(three_domains);
    fleet.warm_up();
    table_snapshot all_out = fleet.table;
    ++all_out.revision;
    for (const char* domain : {"a", "b", "c"})
    {
        all_out.domains[domain] = {.name = domain, .state = domain_state::out};
    }
    for (const auto& node : fleet.nodes)
    {
        node->fleet->set_table(all_out);
    }
    const auto refused = fleet.call(fleet.other({fleet.owner(), fleet.witness()}), key);
    fleet.advance(10s);
    REQUIRE(refused->result);
    CHECK_FALSE(refused->result->granted);
    CHECK(refused->result->answer.claim == claim);
}
