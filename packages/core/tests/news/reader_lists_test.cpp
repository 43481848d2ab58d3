#include "support/reader_fleet.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// At 471 instances a list of the targets takes 17 pages, one after the other.
constexpr duration list_time = 170ms;

/// An instance that starts to read makes about 25 calls at this size, and a day's calls should stay
/// under 400.
constexpr int max_starts = 16;

} // namespace

// Guards against hundreds of instances that read the store at once while the first one that it
// answers is still listing: on the test bench 229 of 471 did, after watches had been silent for a
// second.
TEST_CASE("few instances read the store when the readers' watches fall silent")
{
    const std::size_t size = GENERATE(13, 127, 471, 2413);
    const int seeds = size > 1000 ? 3 : 20;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        fleet simulation(size, duration::zero(), 3, static_cast<std::uint64_t>(seed));
        simulation.list_time = list_time;
        simulation.run(5s);
        simulation.max_age = {};
        simulation.reader_starts = 0;
        simulation.watches_silent = true;
        simulation.run(1s);
        simulation.watches_silent = false;
        simulation.run(4s);
        INFO(size << " instances, seed " << seed << ": " << simulation.reader_starts << " starts");
        CHECK(simulation.reader_starts <= max_starts);
        CHECK(simulation.max_age < 2s);
    }
}

// Guards against the same when all readers crash without notice.
TEST_CASE("few instances read the store when the readers crash, though lists take long")
{
    const std::size_t size = GENERATE(13, 127, 471, 2413);
    const int seeds = size > 1000 ? 3 : 20;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        fleet simulation(size, duration::zero(), 3, static_cast<std::uint64_t>(seed));
        simulation.list_time = list_time;
        simulation.run(5s);
        simulation.max_age = {};
        simulation.reader_starts = 0;
        simulation.crash_readers(0);
        simulation.run(4s);
        INFO(size << " instances, seed " << seed << ": " << simulation.reader_starts << " starts");
        CHECK(simulation.reader_starts <= max_starts);
        CHECK(simulation.max_age < 2s);
    }
}

// Guards against a fleet that waits for an instance whose first call the store has answered and
// whose lists it does not answer: the others must go on after the half second that lists may take.
TEST_CASE("the store is read again if it answers the lists of one instance only")
{
    // Nearly all instances read in this case, and the simulation's cost grows with their cube.
    const std::size_t size = GENERATE(3, 13, 127);
    const int seeds = size > 100 ? 3 : 20;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        fleet simulation(size, duration::zero(), 3, static_cast<std::uint64_t>(seed));
        simulation.list_time = list_time;
        simulation.run(5s);
        const auto readers = simulation.readers();
        bool spared = false;
        for (std::size_t index = 0; index < size; ++index)
        {
            const std::string name = "i" + std::to_string(index);
            const bool reads = std::count(readers.begin(), readers.end(), name) > 0;
            if (reads || std::exchange(spared, true))
            {
                simulation.unlisted.insert(name);
            }
        }
        simulation.max_age = {};
        simulation.crash_readers(0);
        simulation.run(6s);
        INFO(
            size
            << " instances, seed " << seed << ": "
            << std::chrono::duration_cast<std::chrono::milliseconds>(simulation.max_age).count()
            << " ms");
        // Stale after 1.5 s, two random delays of 250 ms, half a second of waiting, and the lists.
        CHECK(simulation.max_age < 1500ms + 2 * 250ms + 500ms + list_time + 50ms);
    }
}

// Guards against instances that wait for lists although the one that makes them says that they have
// failed.
TEST_CASE("the others read the store at once if the lists of the first instance fail")
{
    manual_timer_service timers;
    int reads = 0;
    reader_election election(
        {.timers = &timers,
         .self = "i1",
         .seed = 1,
         .instances = [] { return std::size_t{2}; },
         .on_reading_changed = [&](bool reading) { reads += reading ? 1 : 0; },
         .announce = [](reader_state) {}});
    election.start();
    election.on_reader_state("i2", reader_state::reached, 0ms);
    timers.advance(1490ms);
    election.on_reader_state("i2", reader_state::answered, 0ms);
    timers.advance(300ms);
    CHECK(reads == 0);
    election.on_reader_state("i2", reader_state::failed, 0ms);
    timers.advance(250ms);
    CHECK(reads == 1);
}

// Guards against a configuration of 1 MB that an instance with 10 Mbit/s reads for most of a
// second, where others could read it in a tenth of that, after all readers were lost.
TEST_CASE("instances with fast links are the first to read the store")
{
    struct row
    {
        const char* name;
        std::size_t size;
        std::size_t fast;
        bool fast_are_lost;
    };
    const auto each = GENERATE(values<row>(
        {{"few fast ones", 219, 8, false},
         {"one fast one", 219, 1, false},
         {"many", 471, 100, false},
         {"a small fleet", 13, 2, false},
         {"only fast ones", 127, 127, false},
         {"none", 127, 0, false},
         {"all fast ones are lost, too", 219, 8, true}}));
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        INFO(each.name << ", seed " << seed);
        fleet simulation(
            each.size, duration::zero(), 0, seed,
            [&](std::size_t index)
            { return index < each.fast ? link_speed::fast : link_speed::slow; });
        simulation.run(5s);
        simulation.max_age = {};
        simulation.started.clear();
        simulation.crash_readers(each.fast_are_lost ? each.fast : 0);
        const auto is_fast = [&](const std::string& name)
        { return std::stoul(name.substr(1)) < each.fast && !simulation.crashed.contains(name); };
        bool fast_left = false;
        for (std::size_t index = 0; index < each.fast; ++index)
        {
            fast_left = fast_left || is_fast("i" + std::to_string(index));
        }
        simulation.run(4s);
        REQUIRE_FALSE(simulation.started.empty());
        CHECK(is_fast(simulation.started.front()) == fast_left);
        CHECK(simulation.max_age < 2s);
    }
}
