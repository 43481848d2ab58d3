#include "support/virtual_instance.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

constexpr int small_buffer = 8'192;

/// Receives one answer of `body` bytes into the kernels' buffers without reading it.
std::string receive_unread(virtual_instance& fixture, plain_caller& caller, std::size_t body)
{
    fixture.next_work.body_bytes = body;
    caller.send(fixture.request("GET"));
    fixture.run_for(100ms);
    REQUIRE(fixture.run.size() == 1);
    return fixture.last_id();
}

} // namespace

// Guards against an answer that is cut because its kept connection is closed as idle while the
// caller still reads, and a further request of the caller makes the close a reset.
TEST_CASE("a planned stop leaves a slow reader the answer of its kept connection", "[stop]")
{
    const std::size_t body = GENERATE(40'000U, 280'000U);
    const bool next_request = GENERATE(false, true);
    const auto read_from = GENERATE(500ms, 1'000ms, 1'500ms, 3'000ms);
    INFO(
        "body " << body << ", next request: " << next_request << ", reads from "
                << read_from.count() << " ms");
    virtual_instance fixture({.grace = 6s});
    plain_caller caller(fixture.port, small_buffer);
    const std::string id = receive_unread(fixture, caller, body);
    fixture.stop();
    fixture.run_for(400ms);
    if (next_request)
    {
        caller.send(fixture.request("GET", 1s));
    }
    int passes = 0;
    fixture.run_to_end(
        [&]
        {
            if (fixture.since_stop() >= read_from && ++passes % 10 == 0)
            {
                caller.read(1'000);
            }
        });
    fixture.read_all(caller, 1);
    INFO("read " << caller.bytes_read << " bytes, end " << name_of(caller.end));
    fixture.check_answers(caller, {id});
    CHECK(fixture.run.size() == 1);
}

// Guards against the same cut when the connection reaches its idle time.
TEST_CASE("the idle time leaves a slow reader the answer of its kept connection", "[stop]")
{
    const bool next_request = GENERATE(false, true);
    INFO("next request: " << next_request);
    virtual_instance fixture({.grace = 6s});
    plain_caller caller(fixture.port, small_buffer);
    const std::string id = receive_unread(fixture, caller, 280'000);
    fixture.run_for(60'300ms);
    if (next_request)
    {
        caller.send(fixture.request("GET", 1s));
    }
    fixture.run_for(3s);
    fixture.read_all(caller, 1);
    INFO("read " << caller.bytes_read << " bytes, end " << name_of(caller.end));
    fixture.check_answers(caller, {id});
}
