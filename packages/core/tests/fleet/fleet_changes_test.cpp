#include "support/fleet_harness.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace catkintally::core::test;
using namespace std::chrono_literals;

// Guards against a race between two instances that receive the same key.
TEST_CASE("a key sent to two instances at once runs once")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b"});
    for (int i = 0; i < 20; ++i)
    {
        const std::string key = "order-" + std::to_string(i);
        const auto left = fleet.call(0, key);
        const auto right = fleet.call(1, key);
        fleet.advance(500ms);
        REQUIRE(left->result);
        REQUIRE(right->result);
        CHECK(left->result->ran != right->result->ran);
        CHECK(fleet.targets.key_runs(key) == 1);
    }
    fleet.check_invariants();
}

// Guards against a new owner that takes a key in flight for a new one.
TEST_CASE("a key resent during the takeover runs once")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b", "a"});
    const std::size_t owner = fleet.owner();
    const std::size_t dispatcher = fleet.other({owner, fleet.witness()});
    const std::size_t caller = fleet.other({owner, fleet.witness(), dispatcher});
    fleet.work = 1500ms;
    const auto first = fleet.call(dispatcher, "order-1");
    fleet.advance(100ms);
    fleet.kill(owner);
    std::vector<std::shared_ptr<caller_request>> resent;
    for (int i = 0; i < 30; ++i)
    {
        resent.push_back(fleet.call(caller, "order-1"));
        fleet.advance(100ms);
    }
    fleet.advance(3s);
    REQUIRE(first->result);
    CHECK(first->result->ran);
    CHECK(fleet.targets.key_runs("order-1") == 1);
    for (const auto& request : resent)
    {
        REQUIRE(request->result);
        CHECK_FALSE(request->result->ran);
        CHECK(request->result->answer.claim != run_claim::not_run);
    }
    CHECK(resent.back()->result->answer.replay);
    fleet.check_invariants();
}

// Guards against a planned stop that refuses or loses requests which wait at the stopping owner.
TEST_CASE("a planned stop of the owner loses no request and no key")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b", "a"});
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    const std::size_t caller = fleet.other({owner, fleet.witness()});
    fleet.work = 200ms;
    std::vector<std::shared_ptr<caller_request>> requests;
    requests.reserve(20);
    for (int i = 0; i < 20; ++i)
    {
        requests.push_back(fleet.call(i % 2 == 0 ? caller : owner, "order-" + std::to_string(i)));
    }
    fleet.advance(50ms);
    bool stopped = false;
    fleet.nodes[owner]->fleet->begin_stop([&] { stopped = true; });
    fleet.advance(4s);
    CHECK(stopped);
    for (const auto& request : requests)
    {
        REQUIRE(request->result);
        CHECK(request->result->ran);
    }
    CHECK(fleet.stored_view().members.size() == 4);
    fleet.kill(owner);
    CHECK(fleet.call_and_wait(caller, "order-0").answer.code == decision_code::key_already_run);
    CHECK(fleet.call_and_wait(caller, "order-20").ran);
    fleet.check_invariants();
}

// Guards against records that are lost step by step while a deployment replaces every instance.
TEST_CASE("keys survive the replacement of all members in turn")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "c"});
    fleet.warm_up();
    CHECK(fleet.call_and_wait(0, "order-1").ran);
    for (std::size_t old = 0; old < 3; ++old)
    {
        const std::size_t added = fleet.start_node(fleet.nodes[old]->self.failure_domain);
        fleet.advance(1s);
        REQUIRE(fleet.nodes[added]->fleet->ready());
        bool stopped = false;
        fleet.nodes[old]->fleet->begin_stop([&] { stopped = true; });
        fleet.advance(2s);
        CHECK(stopped);
        fleet.kill(old);
        CHECK(fleet.call_and_wait(added, "order-1").answer.code == decision_code::key_already_run);
        CHECK(fleet.call_and_wait(added, "order-new-" + std::to_string(old)).ran);
    }
    CHECK(fleet.stored_view().members.size() == 3);
    fleet.check_invariants();
}

// Guards against a restarted process that passes for its earlier run.
TEST_CASE("a restart at the same address is a new member")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b"});
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    CHECK(fleet.call_and_wait(owner, "order-1").ran);
    const member_id earlier = fleet.nodes[owner]->self.id;
    const std::size_t again = fleet.restart(owner);
    fleet.advance(2s);
    CHECK(fleet.nodes[again]->fleet->ready());
    const view current = fleet.stored_view();
    CHECK(current.members.size() == 4);
    CHECK(current.find(earlier) == nullptr);
    CHECK(current.find_instance(earlier.instance) != nullptr);
    CHECK(fleet.call_and_wait(again, "order-1").answer.code == decision_code::key_already_run);
    CHECK(fleet.call_and_wait(again, "order-2").ran);
    fleet.check_invariants();
}

// Guards against an instance that repeats an update that had taken effect, or never notices it.
TEST_CASE("a lost answer to the conditional update is resolved by reading back")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a"});
    const std::uint64_t epoch = fleet.stored_view().epoch;
    fleet.store.lose_answers = 1;
    const std::size_t added = fleet.start_node("b");
    fleet.advance(2s);
    CHECK(fleet.store.lose_answers == 0);
    CHECK(fleet.nodes[added]->fleet->ready());
    CHECK(fleet.stored_view().epoch == epoch + 1);
    CHECK(fleet.stored_view().members.size() == 4);

    // The answers to a removal and to a planned stop are lost, too.
    fleet.store.lose_answers = 1;
    fleet.kill(added);
    fleet.advance(2s);
    CHECK(fleet.store.lose_answers == 0);
    CHECK(fleet.stored_view().epoch == epoch + 2);
    fleet.store.lose_answers = 2;
    bool stopped = false;
    fleet.nodes[0]->fleet->begin_stop([&] { stopped = true; });
    fleet.advance(3s);
    CHECK(stopped);
    CHECK(fleet.stored_view().epoch == epoch + 4);
    CHECK(fleet.stored_view().members.size() == 2);
    fleet.check_invariants();
}

// Guards against cold targets that get more than one request while the owner changes.
TEST_CASE("a cold target keeps its limit when its owner dies with a request in flight")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b", "a"});
    const std::size_t owner = fleet.owner();
    fleet.work = 2500ms;
    std::vector<std::shared_ptr<caller_request>> requests;
    for (int i = 0; i < 12; ++i)
    {
        requests.push_back(fleet.call(fleet.other({owner, fleet.witness()}), {}, true));
        requests.push_back(fleet.call(owner, {}, true));
    }
    fleet.advance(100ms);
    fleet.kill(owner);
    fleet.advance(10s);
    CHECK(fleet.targets.total() >= 4);
    fleet.check_invariants();
}

// Guards against the use of a grant whose owner was replaced between the grant and the send.
TEST_CASE("a grant of an earlier epoch may not be used")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b"});
    fleet.warm_up();
    const std::size_t caller = fleet.other({fleet.owner(), fleet.witness()});
    const admission_gateway gateway = fleet.nodes[caller]->fleet->gateway();
    const bool change = GENERATE(false, true);
    std::optional<admission_answer> answer;
    gateway.ask(
        {.id = 9'000,
         .service = "desk",
         .instance = {},
         .failure_domain = {},
         .idempotent = false,
         .key = "order-1",
         .fingerprint = 0,
         .deadline_left = 3s,
         .retry = false,
         .excluded_targets = {}},
        [&](admission_answer given) { answer = std::move(given); });
    fleet.advance(20ms);
    REQUIRE(answer);
    REQUIRE(answer->code == decision_code::granted);
    if (change)
    {
        fleet.start_node("a");
        fleet.advance(50ms);
    }
    REQUIRE(fleet.clock.now() < answer->send_before);
    CHECK(gateway.may_send(9'000) == !change);
}
