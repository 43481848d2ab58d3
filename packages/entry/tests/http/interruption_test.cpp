#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace catkintally::entry;
using catkintally::core::completion_outcome;
using catkintally::core::loss_cause;
using catkintally::core::loss_cause_name;

namespace
{

catkintally::core::admission_answer refused(catkintally::core::decision_code code)
{
    catkintally::core::admission_answer answer;
    answer.code = code;
    return answer;
}

} // namespace

// Guards against capacity that stays in use after the caller has disconnected, and against a keyed
// POST that is aborted, or whose response is lost, because its caller disconnected.
TEST_CASE("a disconnect cancels waiting requests and a dispatched GET but not a dispatched POST")
{
    struct row
    {
        std::string method;
        bool granted;
    };
    const auto sample =
        GENERATE(values<row>({{"GET", false}, {"POST", false}, {"GET", true}, {"POST", true}}));
    const bool keyed_post = sample.method == "POST";
    INFO(sample.method << " granted: " << sample.granted);
    instance_fixture fixture;
    scripted_target target(fixture.loop, {.hold = true});
    if (sample.granted)
    {
        fixture.grant({target.address()});
    }
    {
        raw_caller caller(fixture.loop, fixture.self->front().port());
        caller.send(
            instance_fixture::request(sample.method, keyed_post ? "Idempotency-Key: k\r\n" : ""));
        fixture.run_until(
            [&] { return sample.granted ? target.requests == 1 : !fixture.asked.empty(); });
    }
    if (!sample.granted)
    {
        fixture.run_until([&] { return !fixture.cancelled.empty(); });
        CHECK(fixture.completed.empty());
        return;
    }
    if (keyed_post)
    {
        fixture.run_until_idle();
        CHECK(target.closed_by_peer == 0);
        target.release();
    }
    fixture.run_until([&] { return !fixture.completed.empty(); });
    CHECK(
        fixture.completed[0].first.outcome ==
        (keyed_post ? completion_outcome::answered : completion_outcome::cancelled));
    CHECK((fixture.completed[0].second != nullptr) == keyed_post);
    if (!keyed_post)
    {
        fixture.run_until([&] { return target.closed_by_peer == 1; });
    }
    CHECK(fixture.cancelled.empty());
    CHECK(fixture.asked.size() == 1);
}

// Guards against an idempotent request that waits for a failed target until its deadline, and
// against a non-idempotent one that is sent twice although the first target may run it.
TEST_CASE("only an idempotent request is retried when its target is reported to have lost it")
{
    const std::string method = GENERATE("GET", "POST");
    const auto cause = GENERATE(loss_cause::not_at_target, loss_cause::target_silent);
    const bool idempotent = method == "GET";
    INFO(method << ' ' << loss_cause_name(cause));
    instance_fixture fixture;
    scripted_target failed_target(fixture.loop, {.hold = true});
    scripted_target other(fixture.loop, {});
    fixture.grant({failed_target.address(), other.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(instance_fixture::request(method, idempotent ? "" : "Idempotency-Key: k\r\n"));
    fixture.run_until([&] { return failed_target.requests == 1; });
    REQUIRE(fixture.loss_callbacks.size() == 1);
    fixture.loss_callbacks.begin()->second(cause);
    if (!idempotent)
    {
        fixture.run_until_idle();
        CHECK(fixture.asked.size() == 1);
        CHECK(failed_target.closed_by_peer == 0);
        failed_target.release();
    }
    std::optional<std::string> response;
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == 200);
    CHECK(other.requests == (idempotent ? 1 : 0));
    REQUIRE(fixture.completed.size() == (idempotent ? 2 : 1));
    std::map<std::string, completion_outcome> outcomes;
    for (const auto& [report, answer] : fixture.completed)
    {
        outcomes[report.target] = report.outcome;
    }
    CHECK(
        outcomes.at("t1") ==
        (idempotent ? completion_outcome::connection_lost : completion_outcome::answered));
    if (idempotent)
    {
        CHECK(outcomes.at("t2") == completion_outcome::answered);
        CHECK(fixture.asked.at(1).retry);
        CHECK(fixture.asked.at(1).excluded_targets == std::vector<std::string>{"t1"});
        fixture.run_until([&] { return failed_target.closed_by_peer == 1; });
    }
}

// Guards against a request that is answered with a 502 of the instance's own while its target is at
// work, because the target was silent for a moment and no other attempt was possible.
TEST_CASE("a request at a silent target is given up only for the response of another target")
{
    enum class obstacle
    {
        none,
        refused,
        stop,
        stop_while_waiting,
        other_unreachable,
        other_refuses,
        other_loses,
        other_silent
    };
    const auto each = GENERATE(
        obstacle::none, obstacle::refused, obstacle::stop, obstacle::stop_while_waiting,
        obstacle::other_unreachable, obstacle::other_refuses, obstacle::other_loses,
        obstacle::other_silent);
    INFO("obstacle " << static_cast<int>(each));
    instance_fixture fixture([](auto& values) { values.stop.grace_ms = 5'000; });
    scripted_target target(fixture.loop, {.hold = true});
    scripted_target other(fixture.loop, {});
    const std::string unused_address = scripted_target(fixture.loop, {}).address();
    fixture.grant(
        {target.address(), each == obstacle::other_unreachable ? unused_address : other.address()});
    if (each == obstacle::other_refuses)
    {
        other.script.answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    }
    other.script.close_after_bytes = each == obstacle::other_loses ? 10 : 0;
    other.script.hold = each == obstacle::none || each == obstacle::other_silent;
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(instance_fixture::request("GET", "catkintally-deadline-ms: 30000\r\n"));
    fixture.run_until([&] { return target.requests == 1; });
    if (each == obstacle::stop)
    {
        fixture.self->stop([] {});
    }
    else if (each == obstacle::refused)
    {
        fixture.answers = {refused(catkintally::core::decision_code::refused_retry_budget)};
    }
    else if (each == obstacle::stop_while_waiting)
    {
        fixture.answers.clear();
    }
    const auto first = fixture.asked.at(0).id;
    fixture.loss_callbacks.at(first)(loss_cause::target_silent);
    fixture.run_until_idle();
    if (each == obstacle::stop_while_waiting)
    {
        REQUIRE(fixture.asked.size() == 2);
        fixture.self->stop([] {});
        CHECK(fixture.cancelled == std::vector{fixture.asked.at(1).id});
    }
    else if (each == obstacle::other_silent)
    {
        REQUIRE(other.requests == 1);
        fixture.answers = {refused(catkintally::core::decision_code::refused_no_target)};
        fixture.loss_callbacks.at(fixture.asked.at(1).id)(loss_cause::target_silent);
    }
    fixture.run_until_idle();
    REQUIRE(caller.received.empty());
    CHECK(target.closed_by_peer == 0);
    target.release();
    std::optional<std::string> response;
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == 200);
    CHECK(target.requests == 1);
    CHECK(
        std::count_if(
            fixture.completed.begin(), fixture.completed.end(),
            [](const auto& ended)
            { return ended.first.outcome == completion_outcome::answered; }) == 1);
    fixture.run_until_idle();
    CHECK(caller.received.empty());
}

// Guards against requests that outlive their deadline and against a wrong outcome in their
// response.
TEST_CASE("the deadline ends waiting for admission and for the target's response")
{
    struct row
    {
        std::string deadline;
        bool granted;
        std::string extra;
        std::string outcome;
    };
    const auto sample = GENERATE(values<row>(
        {{"0", true, "", "not-run"},
         {"30", false, "", "not-run"},
         {"30", false, "Idempotency-Key: k\r\n", "attempt-not-run"},
         {"30", true, "", "unknown"}}));
    instance_fixture fixture;
    scripted_target target(fixture.loop, {.hold = true});
    if (sample.granted)
    {
        fixture.grant({target.address()});
    }
    const std::string response = fixture.ask(instance_fixture::request(
        "POST", "catkintally-deadline-ms: " + sample.deadline + "\r\n" + sample.extra));
    CHECK(status_of(response) == 504);
    CHECK(field_of(response, "catkintally-outcome") == sample.outcome);
    CHECK(fixture.cancelled.size() == (sample.granted ? 0 : 1));
    if (sample.outcome == "unknown")
    {
        REQUIRE(fixture.completed.size() == 1);
        CHECK(fixture.completed[0].first.outcome == completion_outcome::timed_out);
        fixture.run_until([&] { return target.closed_by_peer == 1; });
    }
}

// Guards against a response that reaches the wrong caller because its target connection was reused.
TEST_CASE("late and unsolicited target responses are not forwarded")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {.hold = true});
    fixture.grant({target.address()});

    SECTION("response after the deadline")
    {
        const std::string late =
            fixture.ask(instance_fixture::request("POST", "catkintally-deadline-ms: 20\r\n"));
        CHECK(status_of(late) == 504);
        target.script = {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"};
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "new");
        CHECK(target.accepted == 2);
    }
    SECTION("unsolicited response after the expected one")
    {
        target.script = {
            .answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"};
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "ok");
        target.script = {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"};
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "new");
        CHECK(target.accepted == 2);
    }
    SECTION("unsolicited response on an idle connection")
    {
        target.script = {};
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "ok");
        target.send_all("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
        const bool handled_before_reuse = GENERATE(true, false);
        if (handled_before_reuse)
        {
            fixture.run_until_idle();
        }
        target.script = {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"};
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "new");
        CHECK(target.accepted == 2);
    }
    SECTION("idle connection closed by the target")
    {
        target.script = {};
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "ok");
        target.close_all();
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "ok");
        CHECK(target.accepted == 2);
        CHECK(target.requests == 2);
    }
    SECTION("one complete response per request")
    {
        target.script = {};
        CHECK(body_of(fixture.ask(instance_fixture::request("POST"))) == "ok");
        CHECK(body_of(fixture.ask(instance_fixture::request("HEAD"))).empty());
        CHECK(target.accepted == 1);
    }
}

// Guards against opening more connections to a target than it can hold.
TEST_CASE("connections to one target are limited")
{
    instance_fixture fixture([](auto& values) { values.targets.connections = 1; });
    scripted_target target(fixture.loop, {.hold = true});
    fixture.grant({target.address()});
    raw_caller first(fixture.loop, fixture.self->front().port());
    first.send(instance_fixture::request("POST"));
    fixture.run_until([&] { return target.requests == 1; });
    const std::string second = fixture.ask(instance_fixture::request("POST"));
    CHECK(status_of(second) == 503);
    CHECK(field_of(second, "catkintally-outcome") == "not-run");
    target.release();
    fixture.run_until([&] { return first.take_response().has_value(); });
    CHECK(target.accepted == 1);
}

// Guards against a request that is sent under a grant that is no longer valid, including one that
// lapses while the connection is being established.
TEST_CASE("a lapsed grant is returned and requested again")
{
    const bool idle_connection = GENERATE(false, true);
    instance_fixture fixture;
    scripted_target target(fixture.loop, {});
    fixture.grant({target.address()});
    if (idle_connection)
    {
        fixture.ask(instance_fixture::request("POST"));
    }
    fixture.asked.clear();
    fixture.completed.clear();
    target.begun = 0;
    fixture.may_send = false;
    const std::string response = fixture.ask(instance_fixture::request("POST"));
    CHECK(status_of(response) == 503);
    CHECK(field_of(response, "catkintally-outcome") == "not-run");
    CHECK(field_of(response, "catkintally-reason") == "grant_lapsed");
    CHECK(fixture.asked.size() == 3);
    CHECK(fixture.completed.size() == 3);
    CHECK_FALSE(fixture.asked.back().retry);
    CHECK(target.begun == 0);
}
