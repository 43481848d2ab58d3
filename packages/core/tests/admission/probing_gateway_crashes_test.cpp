#include "probing_fixture.hpp"

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// A gateway that refuses the request 7, which crashed three targets.
struct refusing_fixture : probing_fixture
{
    refusing_fixture()
        : probing_fixture(8)
    {
        fingerprint = 7;
        for (int crash = 0; crash < 3; ++crash)
        {
            timers.advance(1s);
            REQUIRE(probing->note_crash(
                {.fingerprint = 7,
                 .target = "x" + std::to_string(crash),
                 .sent_at = timers.now() - 500ms,
                 .crashed_at = timers.now()}));
        }
    }

    decision_code code(request_id id) { return decide(id).code; }
};

} // namespace

// Guards against a request that crashes targets a minute after it did, although it keeps arriving,
// and against instances that do not hear that it does.
TEST_CASE("a crashing request that keeps arriving is refused and announced")
{
    refusing_fixture fixture;
    for (request_id id = 1; id <= 60; ++id)
    {
        const admission_answer answer = fixture.decide(id);
        CHECK(answer.code == decision_code::refused_crashing_request);
        CHECK(answer.claim == run_claim::not_run);
        CHECK(answer.retry_after == 60s);
        fixture.timers.advance(5s);
    }
    CHECK(fixture.announced_records.size() >= 10);
    CHECK(fixture.announced_records.size() <= 15);
    CHECK(fixture.announced_records.back().claimant == 0);
}

// Guards against a retry, a hedged attempt or another caller's request that is sent beside the one
// attempt after a quiet time: each would crash a further target.
TEST_CASE("a crashing request is sent once after a quiet time")
{
    const bool answered = GENERATE(false, true);
    INFO((answered ? "answered" : "crashes again"));
    refusing_fixture fixture;
    fixture.objective = 200ms;
    fixture.timers.advance(61s);
    fixture.submit(1);
    REQUIRE(fixture.announced_records.size() == 1);
    CHECK(fixture.announced_records[0].claimant != 0);
    fixture.timers.advance(490ms);
    CHECK_FALSE(fixture.answers.contains(1));
    CHECK(fixture.code(2) == decision_code::refused_crashing_request);
    fixture.timers.advance(30ms);
    REQUIRE(fixture.answers.contains(1));
    REQUIRE(fixture.answers.at(1).code == decision_code::granted);
    CHECK(fixture.code(3) == decision_code::refused_crashing_request);
    if (answered)
    {
        fixture.complete(1, completion_outcome::answered);
        CHECK(fixture.code(4) == decision_code::granted);
        return;
    }
    fixture.crashed_targets.insert(fixture.answers.at(1).target);
    fixture.complete(1, completion_outcome::connection_lost, 0);
    CHECK(fixture.decide(4, true).code == decision_code::refused_crashing_request);
    fixture.timers.advance(1s);
    CHECK(fixture.reported_crashes.size() == 1);
    CHECK(fixture.decide(5).retry_after == 120s);
}

// Guards against an attempt that is made although another instance makes it or has objected, or
// although its caller has gone.
TEST_CASE("a claim for the attempt is given up")
{
    enum class event : std::uint8_t
    {
        better_claim,
        worse_claim,
        objection,
        cleared,
        cancelled
    };
    const auto happens = GENERATE(
        event::better_claim, event::worse_claim, event::objection, event::cleared,
        event::cancelled);
    INFO("event " << int(happens));
    refusing_fixture fixture;
    fixture.timers.advance(61s);
    fixture.submit(1);
    REQUIRE(fixture.announced_records.size() == 1);
    crash_record received = fixture.announced_records[0];
    fixture.timers.advance(100ms);
    switch (happens)
    {
    case event::better_claim:
        received.claimant = 1;
        CHECK(fixture.probing->merge_crash_record(received).forward);
        break;
    case event::worse_claim:
        ++received.claimant;
        CHECK_FALSE(fixture.probing->merge_crash_record(received).forward);
        break;
    case event::objection:
        received.claimant = 0;
        received.arrived_at -= 30s;
        fixture.probing->merge_crash_record(received);
        break;
    case event::cleared:
        CHECK(fixture.probing->note_answered(7));
        break;
    case event::cancelled:
        fixture.gateway.cancel(1);
        break;
    }
    fixture.timers.advance(500ms);
    REQUIRE(fixture.answers.contains(1) == (happens != event::cancelled));
    const bool sent = happens == event::worse_claim || happens == event::cleared;
    if (happens != event::cancelled)
    {
        CHECK((fixture.answers.at(1).code == decision_code::granted) == sent);
    }
}
