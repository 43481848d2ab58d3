// Targets that send responses without end.
#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace catkintally::entry;

namespace
{

const std::string ok = "HTTP/1.1 200 OK\r\n";

/// Smallest value that the settings accept, so that a test reaches the limit quickly.
constexpr std::uint64_t memory_mb = 16;

/// Memory limit for all bodies, and an allowance for the socket buffers of one connection.
constexpr std::size_t body_memory_bytes = memory_mb / 4 << 20U;
constexpr std::size_t socket_buffer_bytes = 16 << 20U;

/// What one connection may hold of a head and of the parts of a body that were not read yet, here
/// and at the scripted target.
constexpr std::size_t connection_bytes = 256 << 10U;

/// Memory of this process.
std::size_t resident_bytes()
{
    std::ifstream statistics("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statistics >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

struct endless_row
{
    std::string name;
    std::string first_text;
    std::string repeated_text;
};

catkintally::core::target_dialect close_delimited()
{
    catkintally::core::target_dialect dialect;
    dialect.close_delimited_responses = true;
    return dialect;
}

std::vector<endless_row> endless_rows()
{
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"head", "HTTP/1.1 200 ", std::string(20'000, 'x')},
        {"header fields", ok, "X-Field: 1\r\n"},
        {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunked body", chunked, "4e20\r\n" + std::string(20'000, 'x') + "\r\n"},
        {"chunk size", chunked, "0000"},
        {"trailers", chunked + "0\r\n", "T: 1\r\n"},
        {"body with Content-Length", ok + "Content-Length: 99999999999\r\n\r\n",
         std::string(20'000, 'x')},
        {"close-delimited body", ok + "\r\n", std::string(20'000, 'x')},
        {"not HTTP", "x", std::string(20'000, '\0')},
    };
}

std::string response_to(instance_fixture& fixture, raw_caller& caller)
{
    std::optional<std::string> response;
    fixture.run_until(
        [&]
        {
            response = caller.take_response();
            return response.has_value();
        });
    return *response;
}

} // namespace

// Guards against an instance that runs out of memory, and so fails every request on it, because one
// target sends a response without end.
TEST_CASE("an endless response is aborted and uses limited memory")
{
    const auto row = GENERATE(from_range(endless_rows()));
    INFO(row.name);
    instance_fixture fixture(
        [](auto& values) { values.instance.memory_mb = memory_mb; }, close_delimited());
    scripted_target endless(fixture.loop, {.answer = row.first_text, .endless = row.repeated_text});
    fixture.grant({endless.address()});
    const std::string response = fixture.ask(instance_fixture::request("POST"));
    CHECK(status_of(response) == 502);
    CHECK(field_of(response, "catkintally-outcome") == "unknown");
    CHECK(endless.endless_bytes < body_memory_bytes + socket_buffer_bytes);
    // The instance closes the connection, so that the target can stop sending.
    fixture.run_until([&] { return endless.closed_by_peer == 1; });
    CHECK(endless.requests == 1);
}

// Guards against ordinary requests that fail because responses of other targets use all memory, and
// against an idempotent request that is not retried after its target sent an endless response.
TEST_CASE("other requests succeed while targets send endless responses")
{
    constexpr std::size_t caller_count = 40;
    instance_fixture fixture([](auto& values) { values.instance.memory_mb = memory_mb; });
    scripted_target endless(
        fixture.loop, {.answer = ok + "Transfer-Encoding: chunked\r\n\r\n",
                       .endless = "2000\r\n" + std::string(0x2000, 'x') + "\r\n",
                       .hold = true});
    scripted_target good(fixture.loop, {});

    // Each of these requests goes to the endless target first and is then retried on the other one.
    fixture.grant({endless.address()});
    std::vector<std::unique_ptr<raw_caller>> retried_callers;
    for (std::size_t index = 0; index < caller_count; ++index)
    {
        retried_callers.push_back(
            std::make_unique<raw_caller>(fixture.loop, fixture.self->front().port()));
        retried_callers.back()->send(instance_fixture::request("GET"));
    }
    fixture.run_until([&] { return endless.requests == caller_count; });
    fixture.grant({good.address()});
    endless.release();
    CHECK(status_of(fixture.ask(instance_fixture::request("POST"))) == 200);
    for (const auto& caller : retried_callers)
    {
        CHECK(status_of(response_to(fixture, *caller)) == 200);
    }
}

// Guards against memory that grows with the number of endless answers: one instance has connections
// to hundreds of targets.
TEST_CASE("many endless answers at once use limited memory")
{
    constexpr std::size_t caller_count = 100;
    const auto row = GENERATE(from_range(endless_rows()));
    INFO(row.name);
    instance_fixture fixture(
        [](auto& values) { values.instance.memory_mb = memory_mb; }, close_delimited());
    scripted_target endless(
        fixture.loop, {.answer = row.first_text, .endless = row.repeated_text, .hold = true});
    fixture.grant({endless.address()});
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (std::size_t index = 0; index < caller_count; ++index)
    {
        callers.push_back(std::make_unique<raw_caller>(fixture.loop, fixture.self->front().port()));
        callers.back()->send(instance_fixture::request("POST"));
    }
    fixture.run_until([&] { return endless.requests == caller_count; });
    const std::size_t before = resident_bytes();
    endless.release();
    for (const auto& caller : callers)
    {
        CHECK(status_of(response_to(fixture, *caller)) == 502);
    }
    // The target's own copies of what it sends are in this process, too.
    CHECK(resident_bytes() < before + body_memory_bytes + caller_count * connection_bytes);
    fixture.run_until([&] { return endless.closed_by_peer == caller_count; });
    scripted_target good(fixture.loop, {});
    fixture.grant({good.address()});
    CHECK(status_of(fixture.ask(instance_fixture::request("POST"))) == 200);
}

// Guards against unbounded buffering on an idle connection on which a target sends without end: no
// request reads there, so the bytes would accumulate.
TEST_CASE("unsolicited bytes on an idle connection do not accumulate")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {});
    fixture.grant({target.address()});
    CHECK(status_of(fixture.ask(instance_fixture::request("POST"))) == 200);
    target.script.endless = std::string(20'000, 'x');
    target.send_all("x");
    fixture.run_until([&] { return target.closed_by_peer == 1; });
    CHECK(target.endless_bytes < socket_buffer_bytes);
}

// Guards against refusing an upload only after its body was sent in vain, against a refusal without
// cause, and against one that persists after memory has become free again.
TEST_CASE("an upload that exceeds the free body memory is refused before its body is read")
{
    instance_fixture fixture([](auto& values) { values.instance.memory_mb = memory_mb; });
    scripted_target target(fixture.loop, {.hold = true});
    fixture.grant({target.address()});
    constexpr std::size_t size = 1'000'000;
    const auto upload = [&](std::size_t length)
    {
        return "POST /pay HTTP/1.1\r\nHost: desk.example\r\nContent-Length: " +
               std::to_string(length) + "\r\n\r\n";
    };

    // Three bodies, each a quarter of the body memory, use all that large bodies may take.
    std::vector<std::unique_ptr<raw_caller>> uploading_callers;
    for (int index = 0; index < 3; ++index)
    {
        uploading_callers.push_back(
            std::make_unique<raw_caller>(fixture.loop, fixture.self->front().port()));
        uploading_callers.back()->send(upload(size) + std::string(size / 2, 'x'));
    }
    fixture.run_until_idle();
    const std::string refused = fixture.ask(upload(size));
    CHECK(status_of(refused) == 503);
    CHECK(field_of(refused, "catkintally-outcome") == "not-run");
    CHECK(field_of(refused, "catkintally-reason") == "no_body_memory");
    CHECK(field_of(refused, "Retry-After") == "1");
    CHECK(fixture.asked.empty());

    // A small request is still served.
    target.script.hold = false;
    CHECK(status_of(fixture.ask(instance_fixture::request("POST"))) == 200);

    // The three uploads finish, which frees memory for another one.
    for (const auto& caller : uploading_callers)
    {
        caller->send(std::string(size / 2, 'x'));
        CHECK(status_of(response_to(fixture, *caller)) == 200);
    }
    uploading_callers.clear();
    CHECK(status_of(fixture.ask(upload(size) + std::string(size, 'x'))) == 200);
    CHECK(target.requests == 5);
}

// Guards against responses that are stored for callers with the same key and use up the memory for
// bodies in transit.
TEST_CASE("stored responses of keyed requests do not count as bodies in transit")
{
    instance_fixture fixture([](auto& values) { values.instance.memory_mb = memory_mb; });
    const std::string body(60'000, 'x');
    scripted_target target(
        fixture.loop,
        {.answer = ok + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body});
    fixture.grant({target.address()});
    for (int index = 0; index < 100; ++index)
    {
        const std::string key = "Idempotency-Key: k" + std::to_string(index) + "\r\n";
        REQUIRE(status_of(fixture.ask(instance_fixture::request("POST", key))) == 200);
    }
    // The fixture stores the responses, as the fleet does.
    REQUIRE(fixture.completed.size() == 100);
    CHECK(fixture.completed.back().second->body.size() == body.size());
}
