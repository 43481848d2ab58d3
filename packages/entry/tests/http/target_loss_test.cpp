#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

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

/// Listener whose queue is full, so that connections to it stay incomplete.
class full_listener
{
public:
    full_listener()
        : listener_(bind_listener("127.0.0.1:0"))
    {
        ::listen(listener_, 0);
        sockaddr_storage name{};
        socklen_t length = sizeof name;
        auto* address = reinterpret_cast<sockaddr*>(&name);
        getsockname(listener_, address, &length);
        for (int& each : queued_)
        {
            each = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(connect(each, address, length));
        }
    }

    ~full_listener()
    {
        for (const int each : queued_)
        {
            close(each);
        }
        close(listener_);
    }

    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(bound_port(listener_));
    }

private:
    int listener_;
    std::array<int, 2> queued_{};
};

} // namespace

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

// Guards against an upload that is broken off, and repeated or answered with a 502, because its
// target does not report it before it has read the whole body.
TEST_CASE("a request is not missing at its target while its body is under way")
{
    const bool read_at_once = GENERATE(false, true);
    instance_fixture fixture;
    auto table = std::make_shared<catkintally::core::table_snapshot>();
    auto& desk = table->services["desk"].service;
    desk.name = "desk";
    desk.host = "desk.example";
    desk.max_body_bytes = 8'000'000;
    desk.idempotent_methods = {"POST"};
    fixture.self->apply_table(table);
    scripted_target target(fixture.loop, {.unread = !read_at_once, .hold = true});
    scripted_target other(fixture.loop, {});
    fixture.grant({target.address(), other.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    const std::string body(8'000'000, 'x');
    caller.send(
        "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body);
    fixture.run_until([&] { return !fixture.loss_callbacks.empty() && target.accepted == 1; });
    fixture.run_until([&] { return target.requests == (read_at_once ? 1 : 0); });
    fixture.run_until_idle();
    const auto report_loss = std::exchange(fixture.loss_callbacks, {}).begin()->second;
    report_loss(loss_cause::not_at_target);
    fixture.run_until_idle();
    CHECK(fixture.asked.size() == (read_at_once ? 2 : 1));
    // It is watched again.
    CHECK(fixture.loss_callbacks.size() == 1);
    target.resume_reading();
    target.release();
    std::optional<std::string> response;
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == 200);
    CHECK(other.requests == (read_at_once ? 1 : 0));
}

// Guards against a request that loses its only attempt, and is refused without a retry, because it
// was due for hedging while the connection to its target was still being established.
TEST_CASE("a request that has not been sent is not hedged")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {});
    fixture.grant({target.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(instance_fixture::request("GET"));
    // A grant is answered inline, and the connection takes a further pass of the loop.
    fixture.run_until([&] { return !fixture.asked.empty(); });
    REQUIRE(target.requests == 0);
    fixture.answers = {refused(catkintally::core::decision_code::refused_retry_budget)};
    std::exchange(fixture.loss_callbacks, {}).begin()->second(loss_cause::slow);
    CHECK(fixture.asked.size() == 1);
    // It is watched again.
    CHECK(fixture.loss_callbacks.size() == 1);
    std::optional<std::string> response;
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == 200);
    REQUIRE(fixture.completed.size() == 1);
    CHECK(fixture.completed[0].first.outcome == completion_outcome::answered);
}

// Guards against a healthy target that counts as failed because a hedged request was answered
// before the connection to it was established.
TEST_CASE(
    "an attempt that is not sent before another one is answered says nothing about its target")
{
    instance_fixture fixture;
    scripted_target slow(fixture.loop, {.hold = true});
    const full_listener other;
    fixture.grant({slow.address(), other.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(instance_fixture::request("GET"));
    fixture.run_until([&] { return slow.requests == 1; });
    fixture.loss_callbacks.begin()->second(loss_cause::slow);
    REQUIRE(fixture.asked.size() == 2);
    slow.release();
    std::optional<std::string> response;
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == 200);
    REQUIRE(fixture.completed.size() == 2);
    CHECK(fixture.completed[1].first.target == "t2");
    CHECK(fixture.completed[1].first.outcome == completion_outcome::not_run);
    CHECK(fixture.completed[1].first.untried);
}

// Guards against targets that go on working after a request with two attempts has ended, and
// against a second response to its caller.
TEST_CASE("all attempts end together with their request")
{
    enum class request_end
    {
        disconnect,
        deadline,
        stop
    };
    const auto each = GENERATE(request_end::disconnect, request_end::deadline, request_end::stop);
    INFO("end " << static_cast<int>(each));
    instance_fixture fixture([](auto& values) { values.stop.grace_ms = 150; });
    scripted_target silent_target(fixture.loop, {.hold = true});
    scripted_target other(fixture.loop, {.hold = true});
    fixture.grant({silent_target.address(), other.address()});
    auto caller = std::make_unique<raw_caller>(fixture.loop, fixture.self->front().port());
    caller->send(instance_fixture::request(
        "GET", each == request_end::deadline ? "catkintally-deadline-ms: 50\r\n" : ""));
    fixture.run_until([&] { return silent_target.requests == 1; });
    fixture.loss_callbacks.begin()->second(loss_cause::target_silent);
    fixture.run_until([&] { return other.requests == 1; });
    CHECK(silent_target.closed_by_peer == 0);
    if (each == request_end::disconnect)
    {
        caller.reset();
    }
    else if (each == request_end::stop)
    {
        fixture.self->stop([] {});
    }
    fixture.run_until([&]
                      { return silent_target.closed_by_peer == 1 && other.closed_by_peer == 1; });
    CHECK(fixture.completed.size() == 2);
    if (caller)
    {
        std::optional<std::string> response;
        fixture.run_until([&] { return (response = caller->take_response()).has_value(); });
        CHECK(status_of(*response) == (each == request_end::deadline ? 504 : 502));
        fixture.run_until_idle();
        CHECK(caller->received.empty());
    }
}
