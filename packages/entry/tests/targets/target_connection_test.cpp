#include "support/scripted_target.hpp"

#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/targets/target_connection.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>

#include <catch2/catch.hpp>

#include <event2/event.h>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

// Guards against sending on a connection that is established just after its time limit: the request
// no longer exists then. On the bench, slow instances exited with status 1 because of this.
TEST_CASE("a connection established after its time limit sends nothing")
{
    runtime::event_loop loop;
    core::manual_timer_service timers;
    scripted_target target(loop, {});
    target_connection connection(loop, timers, {.connect_time = 300ms}, target.address());
    target_request request;
    request.method = "POST";
    request.uri = "/";
    request.may_send = [] { return true; };
    std::vector<dispatch_result> ends;
    connection.send(request, [&](const dispatch_end& end) { ends.push_back(end.result); });
    timers.advance(300ms);
    CHECK(ends == std::vector<dispatch_result>{dispatch_result::not_sent});
    while (target.accepted == 0)
    {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    for (int iteration = 0; iteration < 20; ++iteration)
    {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    CHECK(target.begun == 0);
    CHECK(ends.size() == 1);
    CHECK_FALSE(connection.is_reusable());
}

// Guards against a health check that accepts a late answer to an earlier request as its own; its
// real answer is then taken for the answer to the next request on the connection.
TEST_CASE("answers that do not match the echoed header of a request are skipped")
{
    struct row
    {
        const char* name;
        echoed_header expected_echo;
        std::string first;
        bool skipped;
    };
    const auto sample = GENERATE(values<row>(
        {{"check, answer to a request", {.header = "X-Id", .value = ""}, "X-Id: old\r\n", true},
         {"check, own answer", {.header = "X-Id", .value = ""}, "", false},
         {"request, answer to a check", {"X-Id", "abc", true}, "", true},
         {"request, target without marks", {"X-Id", "abc", false}, "", false},
         {"request, own answer", {"X-Id", "abc", true}, "X-Id: abc\r\n", false}}));
    INFO(sample.name);
    runtime::event_loop loop;
    core::manual_timer_service timers;
    const std::string second_id =
        sample.expected_echo.value.empty() ? "" : "X-Id: " + sample.expected_echo.value + "\r\n";
    scripted_target target(
        loop, {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + sample.first +
                         "\r\nfirst|HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + second_id +
                         "\r\nsecond"});
    target_connection connection(loop, timers, {}, target.address());
    target_request request;
    request.method = "GET";
    request.uri = "/";
    request.expected_echo = sample.expected_echo;
    request.may_send = [] { return true; };
    std::string body;
    connection.send(request, [&](const dispatch_end& end) { body = end.answer->body; });
    while (body.empty())
    {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    CHECK(body == (sample.skipped ? "second" : "first"));
    // In both cases the connection has received a surplus answer.
    for (int iteration = 0; iteration < 20; ++iteration)
    {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    CHECK_FALSE(connection.is_reusable());
}

// Guards against a request that is broken off at work because its target leaves a long body unread
// for a while: Linux then ends a connection with TCP_USER_TIMEOUT, even if the target's machine
// answers every probe of the closed window.
TEST_CASE("a target may pause in reading a long body")
{
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    scripted_target target(loop, {.unread = true});
    target_connection connection(loop, timers, {.unacknowledged_time = 100ms}, target.address());
    target_request request;
    request.method = "POST";
    request.uri = "/";
    // More than the buffers of both sockets hold.
    request.body = std::make_shared<const std::string>(16'000'000, 'x');
    request.may_send = [] { return true; };
    std::vector<dispatch_result> ends;
    connection.send(request, [&](const dispatch_end& end) { ends.push_back(end.result); });
    // Several times the time for which bytes may stay unacknowledged.
    bool paused_long = false;
    timers.schedule_after(1s, [&] { paused_long = true; });
    while (!paused_long)
    {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    CHECK(ends.empty());
    target.resume_reading();
    while (ends.empty())
    {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    CHECK(ends == std::vector<dispatch_result>{dispatch_result::answered});
    CHECK(target.requests == 1);
}
