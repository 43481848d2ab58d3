#include <admission/admission_fixture.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Submits a request with a fingerprint, and crashes the target it runs on if it was granted.
bool crash_with(admission_fixture& fixture, request_id id, std::uint64_t fingerprint)
{
    if (!fixture.submit(admission_fixture::request(id, 5s, fingerprint)))
    {
        return false;
    }
    fixture.complete(id, completion_outcome::connection_lost);
    return true;
}

} // namespace

// Guards against a request that crashes one target after the other.
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

// Guards against refusing requests that were in flight at crashes they did not cause.
TEST_CASE("requests that did not cause the crashes are not refused")
{
    const std::string scenario = GENERATE("once", "same moment", "answered between", "same target");
    admission_fixture fixture(4);
    fixture.warm_up();
    const auto fingerprint = std::uint64_t{99};
    if (scenario == "once")
    {
        REQUIRE(crash_with(fixture, 1, fingerprint));
    }
    else if (scenario == "same moment")
    {
        // A whole failure domain is lost with a common lookup in flight on two targets.
        for (request_id id = 1; id <= 4; ++id)
        {
            REQUIRE(fixture.submit(admission_fixture::request(id, 5s, fingerprint)));
        }
        for (request_id id = 1; id <= 4; ++id)
        {
            fixture.complete(id, completion_outcome::connection_lost);
        }
    }
    else if (scenario == "answered between")
    {
        for (request_id id = 1; id <= 3; ++id)
        {
            fixture.timers.advance(1s);
            REQUIRE(fixture.submit(admission_fixture::request(id, 5s, fingerprint)));
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
            admission_request request = admission_fixture::request(id, 5s, fingerprint);
            request.excluded_targets = {"t1", "t2", "t3"};
            REQUIRE(fixture.submit(request));
            fixture.complete(id, completion_outcome::connection_lost);
        }
    }
    fixture.timers.advance(5s);
    CAPTURE(scenario);
    CHECK(fixture.submit(admission_fixture::request(50, 5s, fingerprint)));
}

// Guards against two suspects on the same target: its crash would cause both to be refused.
TEST_CASE("suspects of an earlier crash run on different targets")
{
    admission_fixture fixture(2);
    fixture.warm_up();
    REQUIRE(fixture.submit(admission_fixture::request(1, 5s, 11)));
    REQUIRE(fixture.submit(admission_fixture::request(2, 5s, 12)));
    admission_request third = admission_fixture::request(3, 5s, 13);
    third.excluded_targets = {"t1"};
    REQUIRE(fixture.submit(third));
    const auto granted = fixture.granted;
    for (const auto& [id, target] : granted)
    {
        fixture.complete(id, completion_outcome::connection_lost);
    }
    fixture.warm_up(2'000'000);
    REQUIRE(fixture.submit(admission_fixture::request(4, 5s, 11)));
    REQUIRE(fixture.submit(admission_fixture::request(5, 5s, 12)));
    CHECK(fixture.granted.at(4) != fixture.granted.at(5));
    CHECK_FALSE(fixture.submit(admission_fixture::request(6, 5s, 13)));
    fixture.complete(4);
    CHECK(fixture.granted.contains(6));
}

// Guards against unbounded growth of the records, and against eviction of active refusals.
TEST_CASE("many crashes evict suspects before refused requests")
{
    crashing_request_detector detector;
    const time_point start{100s};
    detector.crashed(7, "", "a", 1, 1, start);
    detector.crashed(7, "", "b", 2, 2, start + 2s);
    REQUIRE(detector.is_refused(7, "", start + 3s));
    for (std::uint64_t fingerprint = 100; fingerprint < 5'000; ++fingerprint)
    {
        detector.crashed(fingerprint, "", "c", 3, 3, start + 3s);
    }
    CHECK(detector.is_refused(7, "", start + 3s));
    CHECK(detector.refused_count(start + 3s) == 1);
}
