#include "support/free_address.hpp"

#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/news/gossip_node.hpp>
#include <catkintally/runtime/time/event_loop.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/runtime/time/run_until.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// Instances in one loop, in virtual time. Those of a loop that does not run keep their connections
/// and say nothing, like machines without power.
struct loop_fixture
{
    gossip_node& add(const std::string& name, std::vector<std::string> seeds, std::uint64_t seed)
    {
        core::member self;
        self.id = {.instance = name, .incarnation = 1};
        self.failure_domain = std::string("domain");
        self.peer_address = free_address();
        addresses.push_back(self.peer_address);
        nodes.push_back(std::make_unique<gossip_node>(gossip_node_options{
            .loop = &loop,
            .timers = &timers,
            .self = self,
            .listen_address = self.peer_address,
            .key = "shared",
            .seeds = std::move(seeds),
            .seed = seed,
            .offer = [](const object_update&) { return update_result::not_newer; },
            .whole = [](const std::string&) { return std::nullopt; },
            .states = [] { return std::map<std::string, object_state>(); },
            .on_reader_state = [](const std::string&, wire::reader_state, core::duration) {},
            .on_target_crash = [](const core::target_crash&) { return false; },
            .suspected_crashes = [] { return std::vector<core::target_crash>(); },
            .on_suspicion_cleared = [](std::uint64_t) { return false; }}));
        REQUIRE(nodes.back()->start());
        return *nodes.back();
    }

    runtime::event_loop loop;
    core::manual_timer_service timers;
    std::vector<std::unique_ptr<gossip_node>> nodes;
    std::vector<std::string> addresses;
};

bool is_linked(const gossip_node& node, const std::string& name)
{
    const auto all = node.neighbours();
    return std::any_of(
        all.begin(), all.end(), [&](const core::member_id& each) { return each.instance == name; });
}

/// Runs the loops for a moment of real time, in which messages on loopback arrive.
void settle(const std::vector<runtime::event_loop*>& loops)
{
    for (int round = 0; round < 3; ++round)
    {
        for (runtime::event_loop* loop : loops)
        {
            runtime::libevent_timer_service timers(*loop);
            bool passed = false;
            timers.schedule_after(2ms, [&] { passed = true; });
            runtime::run_until(*loop, timers, [&] { return passed; });
        }
    }
}

} // namespace

// Guards against an instance whose neighbours have all lost power, and which hears no change until
// it turns to the store itself.
TEST_CASE("an instance whose neighbours fall silent finds others before it needs the store")
{
    bool found_setup = false;
    for (std::uint64_t seed = 1; seed <= 40 && !found_setup; ++seed)
    {
        INFO("seed " << seed);
        loop_fixture alive;
        loop_fixture silent;
        silent.add("s1", {}, seed);
        silent.add("s2", {silent.addresses[0]}, seed + 100);
        silent.add("s3", silent.addresses, seed + 200);
        const auto pass = [&](core::duration time)
        {
            for (core::duration passed{}; passed < time; passed += 100ms)
            {
                alive.timers.advance(100ms);
                silent.timers.advance(100ms);
                settle({&alive.loop, &silent.loop});
            }
        };
        gossip_node& first = alive.add("a1", {silent.addresses[0]}, seed + 300);
        gossip_node& second = alive.add("a2", {silent.addresses[1]}, seed + 400);
        pass(6s);
        // Both know each other from the samples of the silent ones, and have enough neighbours.
        found_setup = !is_linked(first, "a2") && !is_linked(second, "a1") &&
                      first.neighbours().size() >= 2 && first.instances() >= 5;
        if (!found_setup)
        {
            continue;
        }

        // From here on the other loop does not run.
        core::duration passed{};
        while (!is_linked(first, "a2") && passed < 5s)
        {
            alive.timers.advance(50ms);
            passed += 50ms;
            settle({&alive.loop});
        }
        CHECK(passed < 1'500ms);
    }
    REQUIRE(found_setup);
}
