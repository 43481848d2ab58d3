#include "support/fleet_harness.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace catkintally::core::test;
using namespace std::chrono_literals;

// Guards against a fleet that does not come up: every member ready, one epoch per join.
TEST_CASE("instances join one view and serve keyed requests once")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b", "a"});
    CHECK(fleet.stored_view().members.size() == 5);
    CHECK(fleet.stored_view().epoch == 5);

    CHECK(fleet.call_and_wait(0, "order-1").ran);
    const caller_result again = fleet.call_and_wait(1, "order-1");
    CHECK(again.answer.code == decision_code::key_already_run);
    CHECK(again.answer.claim == run_claim::already_run);
    REQUIRE(again.answer.replay);
    CHECK(again.answer.replay->body == "answer to order-1");
    CHECK(fleet.targets.key_runs("order-1") == 1);
    fleet.check_invariants();
}

// Guards against orders that run twice or are refused for long when their owner dies.
TEST_CASE("a killed owner's records survive and its service resumes")
{
    fleet_harness fleet;
    fleet.start({"a", "b", "a", "b", "a"});
    fleet.warm_up();
    const std::size_t owner = fleet.owner();
    const std::size_t caller = fleet.other({owner, fleet.witness()});
    CHECK(fleet.call_and_wait(caller, "order-1").ran);
    fleet.kill(owner);
    const auto during = fleet.call(caller, "order-1");
    const auto fresh = fleet.call(caller, "order-2");
    fleet.advance(1500ms);
    REQUIRE(during->result);
    CHECK(during->result->answer.code == decision_code::key_already_run);
    REQUIRE(fresh->result);
    CHECK(fresh->result->ran);
    fleet.check_invariants();
}
