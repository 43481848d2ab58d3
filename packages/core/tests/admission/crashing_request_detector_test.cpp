#include <admission/admission_fixture.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Submits a request with a fingerprint, and crashes the target it runs on if it was granted.
bool crash_with(admission_fixture& fixture, request_id id, std::uint64_t print)
{
    if (!fixture.submit(admission_fixture::request(id, 5s, print)))
    {
        return false;
    }
    fixture.complete(id, completion_outcome::connection_lost);
    return true;
}

} // namespace

// Guards against a request that takes down one target after the other.
TEST_CASE("a request that crashed two targets is refused for 60 s")
{
    admission_fixture fixture(4);
    REQUIRE(crash_with(fixture, 1, 99));

    admission_request again = admission_fixture::request(2, 5s, 99);
    again.excluded_targets = {fixture.decisions[0].target};
    REQUIRE(fixture.submit(again));
    fixture.complete(2, completion_outcome::connection_lost);

    CHECK_FALSE(fixture.submit(admission_fixture::request(3, 5s, 99)));
    CHECK(fixture.last_code() == decision_code::refused_crashing_request);
    CHECK(fixture.submit(admission_fixture::request(4, 5s, 98)));
    fixture.timers.advance(59s);
    CHECK_FALSE(fixture.submit(admission_fixture::request(5, 5s, 99)));
    fixture.timers.advance(2s);
    CHECK(fixture.submit(admission_fixture::request(6, 5s, 99)));
}

// Guards against refusing innocent requests that were in flight when targets crashed by themselves.
TEST_CASE("bystanders of crashes are not refused")
{
    const std::string way = GENERATE("once", "same moment", "answered between", "same target");
    admission_fixture fixture(4);
    fixture.warm_up();
    const auto print = std::uint64_t{99};
    if (way == "once")
    {
        REQUIRE(crash_with(fixture, 1, print));
    }
    else if (way == "same moment")
    {
        // A whole failure domain is lost with a common lookup in flight on two targets.
        for (request_id id = 1; id <= 4; ++id)
        {
            REQUIRE(fixture.submit(admission_fixture::request(id, 5s, print)));
        }
        for (request_id id = 1; id <= 4; ++id)
        {
            fixture.complete(id, completion_outcome::connection_lost);
        }
    }
    else if (way == "answered between")
    {
        for (request_id id = 1; id <= 3; ++id)
        {
            fixture.timers.advance(1s);
            REQUIRE(fixture.submit(admission_fixture::request(id, 5s, print)));
            fixture.complete(
                id, id == 2 ? completion_outcome::answered : completion_outcome::connection_lost);
        }
    }
    else
    {
        // Two crashes of one bad target.
        for (request_id id = 1; id <= 2; ++id)
        {
            fixture.timers.advance(5s);
            admission_request made = admission_fixture::request(id, 5s, print);
            made.excluded_targets = {"t1", "t2", "t3"};
            REQUIRE(fixture.submit(made));
            fixture.complete(id, completion_outcome::connection_lost);
        }
    }
    fixture.timers.advance(5s);
    CAPTURE(way);
    CHECK(fixture.submit(admission_fixture::request(50, 5s, print)));
}

// Guards against two suspects that share a target: its crash would condemn both.
TEST_CASE("suspects of an earlier crash run apart from each other")
{
    admission_fixture fixture(2);
    fixture.warm_up();
    REQUIRE(fixture.submit(admission_fixture::request(1, 5s, 11)));
    REQUIRE(fixture.submit(admission_fixture::request(2, 5s, 12)));
    admission_request third = admission_fixture::request(3, 5s, 13);
    third.excluded_targets = {"t1"};
    REQUIRE(fixture.submit(third));
    const auto placed = fixture.placed;
    for (const auto& [id, target] : placed)
    {
        fixture.complete(id, completion_outcome::connection_lost);
    }
    fixture.warm_up(2'000'000);
    REQUIRE(fixture.submit(admission_fixture::request(4, 5s, 11)));
    REQUIRE(fixture.submit(admission_fixture::request(5, 5s, 12)));
    CHECK(fixture.placed.at(4) != fixture.placed.at(5));
    CHECK_FALSE(fixture.submit(admission_fixture::request(6, 5s, 13)));
    fixture.complete(4);
    CHECK(fixture.placed.contains(6));
}

// Guards against a table of suspicions that grows without bound, or that forgets refusals in force.
TEST_CASE("a flood of crashes evicts suspicions before refusals")
{
    crashing_request_detector guard;
    const time_point start{100s};
    guard.crashed(7, "", "a", 1, 1, start);
    guard.crashed(7, "", "b", 2, 2, start + 2s);
    REQUIRE(guard.is_refused(7, "", start + 3s));
    for (std::uint64_t print = 100; print < 5'000; ++print)
    {
        guard.crashed(print, "", "c", 3, 3, start + 3s);
    }
    CHECK(guard.is_refused(7, "", start + 3s));
    CHECK(guard.refused_count(start + 3s) == 1);
}
