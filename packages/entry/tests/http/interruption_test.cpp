#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace catkintally::entry;
using catkintally::core::completion_outcome;
using namespace std::chrono_literals;

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

// Guards against requests that a change of the table ends, repeats or answers in the place of the
// target at work, and against waiting ones that it ends.
TEST_CASE("a change of the table does not touch requests under way")
{
    const std::string method = GENERATE("GET", "POST");
    const bool granted = GENERATE(true, false);
    const bool with_service = GENERATE(true, false);
    INFO(method << " granted: " << granted << " service stays: " << with_service);
    instance_fixture fixture;
    scripted_target target(fixture.loop, {.hold = true});
    if (granted)
    {
        fixture.grant({target.address()});
    }
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(instance_fixture::request(method));
    fixture.run_until([&] { return granted ? target.requests == 1 : fixture.asked.size() == 1; });
    auto table = std::make_shared<catkintally::core::table_snapshot>();
    table->revision = 8;
    if (with_service)
    {
        auto& desk = table->services["desk"].service;
        desk.name = "desk";
        desk.host = "elsewhere.example";
        desk.max_body_bytes = 1;
        desk.deadline_ms = 1;
    }
    table->limits = catkintally::core::caller_limits{
        .header_bytes = 100, .body_bytes = 1, .idle_time = 1ms, .request_time = 1ms};
    fixture.self->apply_table(table);
    fixture.run_until_idle();
    CHECK(fixture.asked.size() == 1);
    CHECK(fixture.cancelled.empty());
    CHECK(fixture.completed.empty());
    CHECK(caller.received.empty());
    if (granted)
    {
        bool waited = false;
        fixture.timers.schedule_after(50ms, [&] { waited = true; });
        fixture.run_until([&] { return waited; });
        CHECK(target.closed_by_peer == 0);
        CHECK_FALSE(caller.ended);
        target.release();
        std::optional<std::string> response;
        fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
        CHECK(status_of(*response) == 200);
        CHECK(body_of(*response) == "ok");
        CHECK(target.requests == 1);
    }
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
