#include "support/fleet_harness.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace catkintally::core::test;
using namespace std::chrono_literals;

// Guards against fault combinations that no single test names: random kills, pauses, cuts, store
// outages, lost answers, lost messages and planned stops, with the same keys sent to many
// instances.
TEST_CASE("random schedules of faults keep the invariants and the service resumes")
{
    const auto seed = GENERATE(range(1, 21), values({219, 260}));
    INFO("seed " << seed);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    fleet_harness fleet(static_cast<std::uint64_t>(seed));
    fleet.start({"a", "b", "c", "a", "b", "c", "a"});
    const auto pick = [&] { return static_cast<std::size_t>(random() % fleet.nodes.size()); };
    std::vector<std::size_t> paused;
    for (int step = 0; step < 300; ++step)
    {
        const std::size_t node = pick();
        if (fleet.nodes[node]->alive)
        {
            const std::string key =
                random() % 3 == 0 ? "" : "order-" + std::to_string(random() % 120);
            fleet.work = 2ms + duration(random() % 400'000);
            fleet.call(node, key, key.empty());
        }
        const std::size_t victim = pick();
        switch (random() % 40)
        {
        case 0:
            if (fleet.nodes[victim]->alive && fleet.nodes.size() < 14)
            {
                fleet.restart(victim);
            }
            break;
        case 1:
            if (fleet.nodes[victim]->alive && paused.empty())
            {
                fleet.nodes[victim]->timers->pause();
                paused.push_back(victim);
            }
            break;
        case 2:
        case 3:
            for (const std::size_t index : std::exchange(paused, {}))
            {
                fleet.nodes[index]->timers->resume();
            }
            break;
        case 4:
            fleet.cut(victim, pick(), true);
            break;
        case 5:
        case 6:
            for (std::size_t left = 0; left < fleet.nodes.size(); ++left)
            {
                fleet.isolate(left, false);
            }
            break;
        case 7:
            fleet.isolate(victim);
            break;
        case 8:
            fleet.store.outage = true;
            break;
        case 9:
        case 10:
            fleet.store.outage = false;
            break;
        case 11:
            fleet.store.lose_answers = 1;
            break;
        case 12:
            fleet.drop_rate = 0.02;
            break;
        case 13:
            fleet.drop_rate = 0;
            break;
        default:
            break;
        }
        fleet.advance(duration(random() % 200'000));
    }

    // Everything heals, and the service resumes.
    for (const std::size_t index : paused)
    {
        fleet.nodes[index]->timers->resume();
    }
    for (std::size_t left = 0; left < fleet.nodes.size(); ++left)
    {
        fleet.isolate(left, false);
    }
    fleet.store.outage = false;
    fleet.drop_rate = 0;
    fleet.advance(10s);
    fleet.check_invariants();
    for (const auto& entry : fleet.nodes)
    {
        if (entry->alive)
        {
            CHECK(entry->fleet->ready());
        }
    }
    const auto lookup = fleet.call(fleet.other({}), {}, true);
    fleet.advance(4s);
    REQUIRE(lookup->result);
    CHECK(lookup->result->ran);
    fleet.check_invariants();
}
