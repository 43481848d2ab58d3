#include "support/virtual_instance.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::entry;
using namespace std::chrono_literals;
namespace core = catkintally::core;

namespace
{

/// When the instance is stopped, relative to the request.
enum class stop_time
{
    never,
    before,
    after
};

/// Time within which a closed connection must be noticed.
constexpr auto detection_time = 500ms;

} // namespace

// Guards against a caller that closes its sending side after its request, as HTTP/1.1 allows, and
// gets no answer because it is taken for one that has gone.
TEST_CASE("a caller that closes its sending side gets the whole answer", "[stop]")
{
    const std::string method = GENERATE("GET", "POST");
    const auto work = GENERATE(5ms, 300ms, 700ms);
    const std::size_t body = GENERATE(2U, 280'000U);
    const std::size_t pipelined = GENERATE(1U, 3U);
    const auto when = GENERATE(stop_time::never, stop_time::before, stop_time::after);
    const std::string extra = GENERATE("", "Connection: close\r\n");
    INFO(
        method << " x " << pipelined << ", work " << work.count() << " ms, body " << body
               << ", stop " << static_cast<int>(when) << ' ' << extra);
    virtual_instance fixture;
    fixture.next_work = {.time = work, .body_bytes = body};
    plain_caller caller(fixture.port);
    if (when == stop_time::before)
    {
        fixture.stop();
        fixture.run_for(10ms);
    }
    std::vector<std::string> ids;
    for (std::size_t each = 0; each < pipelined; ++each)
    {
        caller.send(fixture.request(method, 1s, each + 1 == pipelined ? extra : ""));
        ids.push_back(fixture.last_id());
    }
    caller.half_close();
    fixture.run_for(3ms);
    if (when == stop_time::after)
    {
        fixture.stop();
    }
    // Longer than the work, or until the process has ended.
    fixture.run_for(1'300ms, [&] { caller.read(); });
    fixture.read_all(caller, ids.size());
    fixture.check_answers(caller, ids);
    CHECK(caller.answers.size() == ids.size());
    CHECK(fixture.run.size() == ids.size());
    if (fixture.self)
    {
        CHECK(caller.end == connection_end::fin);
        CHECK(fixture.self->front().connections() == 0);
    }
}

// Guards against an interim response inside an earlier answer, and against an answer that is lost
// because the one before it is still being read.
TEST_CASE("a half-closed caller that reads slowly gets all answers whole", "[stop]")
{
    const auto work = GENERATE(5ms, 800ms);
    const bool stopping = GENERATE(false, true);
    const int buffer = GENERATE(0, 8'192);
    INFO(
        "work " << work.count() << " ms, in a stop: " << stopping << ", receive buffer " << buffer);
    virtual_instance fixture({.grace = 6s});
    plain_caller caller(fixture.port, buffer);
    std::vector<std::string> ids;
    for (const std::size_t body : {280'000U, 2U, 40'000U})
    {
        fixture.next_work = {.time = ids.empty() ? 5ms : work, .body_bytes = body};
        caller.send(fixture.request("GET"));
        ids.push_back(fixture.last_id());
    }
    caller.half_close();
    fixture.run_for(3ms);
    if (stopping)
    {
        fixture.stop();
    }
    int passed = 0;
    fixture.run_for(
        5s,
        [&]
        {
            // The first answer takes longer than the work for the others.
            if (++passed % 10 == 0 && (caller.answers.empty() || passed > 1'500))
            {
                fixture.read_slowly(caller, 2'000);
            }
        });
    fixture.read_all(caller, ids.size());
    fixture.check_answers(caller, ids);
    CHECK(caller.answers.size() == ids.size());
}

// Guards against a target that works on for a caller that has closed its connection, and, if a
// caller may close its sending side alone, against taking the one for the other.
TEST_CASE("a caller that closes its connection is noticed while its target works", "[stop]")
{
    enum class way
    {
        close,
        reset,
        half_close_then_close,
        half_close_http_1_0
    };
    const auto how =
        GENERATE(way::close, way::reset, way::half_close_then_close, way::half_close_http_1_0);
    const std::size_t pipelined = GENERATE(1U, 3U);
    const auto age = GENERATE(0ms, 3ms, 400ms);
    const bool stopping = GENERATE(false, true);
    INFO(
        "way " << static_cast<int>(how) << " x " << pipelined << ", " << age.count()
               << " ms after the request, in a stop: " << stopping);
    virtual_instance fixture({.grace = 8s});
    fixture.next_work.time = 3s;
    plain_caller caller(fixture.port);
    const std::string version = how == way::half_close_http_1_0 ? "HTTP/1.0" : "HTTP/1.1";
    const std::string kept = how == way::half_close_http_1_0 ? "Connection: keep-alive\r\n" : "";
    std::vector<std::string> ids;
    for (std::size_t each = 0; each < pipelined; ++each)
    {
        caller.send(fixture.request("GET", 4s, kept, "", version));
        ids.push_back(fixture.last_id());
    }
    // HTTP/1.0 has no pipelining: the connection ends after its first request.
    const std::size_t expected = how == way::half_close_http_1_0 ? 1 : pipelined;
    fixture.settle_until([&] { return fixture.run.size() >= expected; });
    if (stopping)
    {
        fixture.stop();
    }
    fixture.run_for(age);
    switch (how)
    {
    case way::close:
        caller.close();
        break;
    case way::reset:
        caller.reset();
        break;
    case way::half_close_then_close:
        caller.half_close();
        fixture.run_for(1s);
        CHECK(fixture.target.closed_by_peer == 0);
        caller.close();
        break;
    case way::half_close_http_1_0:
        caller.half_close();
        break;
    }
    fixture.run_for(detection_time);
    CHECK(fixture.target.closed_by_peer == fixture.run.size());
    CHECK(
        fixture.outcomes == std::vector<core::completion_outcome>(
                                fixture.run.size(), core::completion_outcome::cancelled));
    // A stopping instance without connections has ended.
    CHECK((!fixture.self || fixture.self->front().connections() == 0));
}

// Guards against a closed connection that is not noticed because its caller has left bytes unread
// or unsent, or has sent more than the instance reads.
TEST_CASE("a caller that closes its connection with unread input is noticed", "[stop]")
{
    const std::size_t body = GENERATE(2U, 280'000U);
    const std::size_t further = GENERATE(0U, 1U, 40U);
    INFO("earlier answer of " << body << " bytes, " << further << " further requests");
    virtual_instance fixture;
    plain_caller caller(fixture.port, 8'192);
    fixture.next_work = {.time = 5ms, .body_bytes = body};
    caller.send(fixture.request("GET"));
    fixture.run_for(50ms);
    fixture.next_work.time = 3s;
    caller.send(fixture.request("GET", 4s));
    for (std::size_t each = 0; each < further; ++each)
    {
        caller.send(fixture.request("GET", 4s));
    }
    fixture.settle_until([&]
                         { return fixture.run.size() >= std::min<std::size_t>(further + 2, 33); });
    fixture.run_for(10ms);
    const std::size_t at_work = fixture.run.size() - 1;
    caller.close();
    fixture.run_for(detection_time);
    CHECK(fixture.target.closed_by_peer == at_work);
    CHECK(fixture.run.size() == at_work + 1);
    CHECK(fixture.self->front().connections() == 0);
}

// Guards against idle or incomplete connections that stay open after their callers have closed
// their sending side.
TEST_CASE("a half-closed connection without a complete request ends", "[stop]")
{
    const std::string text = GENERATE(
        "", "GET /pay HTTP/1.1\r\nHost: desk",
        "POST /pay HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\n\r\nbo",
        "POST /pay HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo");
    const bool earlier = GENERATE(false, true);
    INFO("earlier request: " << earlier << ", text " << text);
    virtual_instance fixture;
    plain_caller caller(fixture.port);
    if (earlier)
    {
        caller.send(fixture.request("GET"));
        fixture.run_for(50ms, [&] { caller.read(); });
        REQUIRE(caller.answers.size() == 1);
    }
    caller.send(text);
    caller.half_close();
    fixture.run_for(detection_time, [&] { caller.read(); });
    fixture.settle_until([&] { return caller.read(), caller.end != connection_end::none; });
    CHECK(fixture.run.size() == (earlier ? 1 : 0));
    CHECK(fixture.self->front().connections() == 0);
}

// Guards against requests that are run and not answered, and against an interim response where an
// HTTP/1.0 response is due, if a half-closed connection carries requests of both versions.
TEST_CASE("a half-closed connection with requests of two versions gets its answers", "[stop]")
{
    const bool old_one_first = GENERATE(false, true);
    INFO("HTTP/1.0 first: " << old_one_first);
    virtual_instance fixture;
    fixture.next_work.time = 300ms;
    plain_caller caller(fixture.port);
    std::vector<std::string> ids;
    for (const bool old_one : {old_one_first, !old_one_first})
    {
        const std::string kept = old_one ? "Connection: keep-alive\r\n" : "";
        caller.send(fixture.request("GET", 1s, kept, "body", old_one ? "HTTP/1.0" : "HTTP/1.1"));
        ids.push_back(fixture.last_id());
    }
    caller.half_close();
    fixture.run_for(250ms);
    caller.read();
    CHECK((!old_one_first || caller.interim == 0));
    fixture.run_for(600ms);
    fixture.read_all(caller, ids.size());
    CHECK(caller.answers.size() == fixture.run.size());
    fixture.check_answers(caller, ids);
}

// Guards against a metric that counts a half-closed caller with its answer among those who left.
TEST_CASE("a half-closed caller that is answered does not count as gone", "[stop]")
{
    virtual_instance fixture;
    fixture.next_work.time = 20ms;
    plain_caller caller(fixture.port);
    caller.send(fixture.request("GET"));
    caller.half_close();
    fixture.run_for(2s);
    fixture.read_all(caller, 1);
    CHECK(caller.answers.size() == 1);
    const std::string metrics = fixture.self->metrics().exposition();
    CHECK(metrics.find("how=\"caller_gone\"") == std::string::npos);
    CHECK(metrics.find("how=\"lingered\"") != std::string::npos);
}
