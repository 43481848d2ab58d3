#include "crash_fleet.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Attempts until all instances know that the request crashes targets.
constexpr int first_attempts = 3;

} // namespace

// Guards against a request that crashes targets again a minute after it did, although it has kept
// arriving all the time, and through an instance that has started meanwhile.
TEST_CASE("a request is refused for as long as it keeps arriving")
{
    const std::size_t size = GENERATE(2, 13, 120);
    const auto interval = GENERATE(250ms, 7s, 50s);
    INFO(size << " instances, every " << interval / 1ms << " ms");
    crash_fleet fleet(size);
    fleet.keep_arriving(250ms, 1s);
    REQUIRE(fleet.attempts == first_attempts);
    REQUIRE(fleet.knowing() == size);
    const auto messages = fleet.messages;
    const auto duration_played = 20min;
    for (const auto end = fleet.timers.now() + duration_played; fleet.timers.now() < end;)
    {
        fleet.keep_arriving(interval, 50s);
        fleet.restart(fleet.random.next() % size);
        fleet.timers.advance(50ms);
    }
    CHECK(fleet.attempts == first_attempts);
    CHECK(fleet.knowing() == size);
    // Each instance sends four messages at most in 10 s; each of 24 restarts costs eight at most.
    CHECK(fleet.messages - messages <= size * 4 * (duration_played / 10s) + 192);
}

// Guards against several attempts after a quiet time through instances at which the request arrives
// at the same moment, and against further ones before the outcome is known.
TEST_CASE("after a quiet time one instance sends the request once")
{
    const std::size_t size = GENERATE(2, 13, 120);
    const bool answered = GENERATE(false, true);
    crash_fleet fleet(size);
    fleet.keep_arriving(250ms, 1s);
    REQUIRE(fleet.attempts == first_attempts);
    fleet.timers.advance(61s);
    fleet.crashes = !answered;
    for (std::size_t each = 0; each < size; ++each)
    {
        fleet.arrive(each);
    }
    fleet.timers.advance(590ms);
    CHECK(fleet.attempts == first_attempts + 1);
    fleet.keep_arriving(10ms, 10ms);
    CHECK(fleet.attempts == first_attempts + 1);
    fleet.timers.advance(1s);
    CHECK(fleet.knowing() == (answered ? 0 : size));
    if (answered)
    {
        fleet.arrive(0);
        CHECK(fleet.attempts == first_attempts + 2);
        return;
    }
    // The quiet time doubles with each crash, so that few attempts are made in a day.
    fleet.timers.advance(100s);
    fleet.keep_arriving(1s, 1s);
    CHECK(fleet.attempts == first_attempts + 1);
    fleet.timers.advance(121s);
    fleet.keep_arriving(1s, 10s);
    CHECK(fleet.attempts == first_attempts + 2);
}

// Guards against an attempt of an instance that has not heard that the request keeps arriving.
TEST_CASE("an instance that was cut off does not take the request for quiet")
{
    crash_fleet fleet(13);
    fleet.keep_arriving(250ms, 1s);
    fleet.side[5] = 1;
    for (int step = 0; step < 8; ++step)
    {
        fleet.timers.advance(10s);
        fleet.arrive(0);
    }
    const bool joined_first = GENERATE(false, true);
    if (joined_first)
    {
        fleet.join();
        fleet.timers.advance(10ms);
        fleet.arrive(5);
    }
    else
    {
        // It hears the objections to its claim.
        fleet.side[5] = 0;
        fleet.arrive(5);
    }
    fleet.timers.advance(2s);
    CHECK(fleet.attempts == first_attempts);
}

// Guards against a request that is refused again after a target responded to it, because an
// instance that has not heard of it passes its record on.
TEST_CASE("a cleared record does not come back from an instance that was cut off")
{
    crash_fleet fleet(13);
    fleet.keep_arriving(250ms, 1s);
    fleet.timers.advance(61s);
    fleet.side[5] = 1;
    fleet.crashes = false;
    fleet.arrive(0);
    fleet.timers.advance(2s);
    REQUIRE(fleet.knowing() == 1);
    fleet.join();
    fleet.timers.advance(1s);
    CHECK(fleet.knowing() == 0);
}

// Guards against records of other instances that cannot be right, and against ones that are passed
// on without end.
TEST_CASE("records of other instances are taken and forwarded once")
{
    struct row
    {
        const char* name;
        crash_record record;
        bool forward;
        bool again;
    };
    const time_point now(100'000s);
    const std::vector<row> rows = {
        {"a record",
         {.fingerprint = 7, .crashes = 3, .crashed_at = now - 9s, .arrived_at = now - 1s},
         true,
         false},
        {"long known, and still arriving",
         {.fingerprint = 7, .crashes = 3, .crashed_at = now - 10h, .arrived_at = now - 1s},
         true,
         false},
        {"not arriving any more",
         {.fingerprint = 7, .crashes = 3, .crashed_at = now - 10h, .arrived_at = now - 7h},
         false,
         false},
        {"too few crashes",
         {.fingerprint = 7, .crashes = 2, .crashed_at = now - 9s, .arrived_at = now - 1s},
         false,
         false},
        {"no fingerprint",
         {.fingerprint = 0, .crashes = 3, .crashed_at = now - 9s, .arrived_at = now - 1s},
         false,
         false}};
    for (const row& each : rows)
    {
        INFO(each.name);
        crash_records records(1);
        CHECK(records.merge(each.record, now).forward == each.forward);
        CHECK(records.merge(each.record, now + 100ms).forward == each.again);
        CHECK(records.contains(7) == each.forward);
        CHECK_FALSE(records.merge(each.record, now).cleared);
    }
}
