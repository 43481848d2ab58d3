// Targets whose answers have no end.
#include "support/path_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace catkintally::entry;

namespace
{

const std::string ok = "HTTP/1.1 200 OK\r\n";

/// The least that the settings allow, so that a test reaches the limit soon.
constexpr std::uint64_t memory_mb = 16;

/// Bytes that all bodies may take, and room for what the sockets of one connection hold.
constexpr std::size_t body_bytes = memory_mb / 4 << 20U;
constexpr std::size_t socket_bytes = 16 << 20U;

struct endless_row
{
    std::string name;
    std::string begin;
    std::string more;
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
        {"interim answers", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunked body", chunked, "4e20\r\n" + std::string(20'000, 'x') + "\r\n"},
        {"chunk size", chunked, "0000"},
        {"trailers", chunked + "0\r\n", "T: 1\r\n"},
        {"body with length", ok + "Content-Length: 99999999999\r\n\r\n", std::string(20'000, 'x')},
        {"body until the close", ok + "\r\n", std::string(20'000, 'x')},
        {"no answer at all", "x", std::string(20'000, '\0')},
    };
}

std::string response_to(path_fixture& bench, raw_caller& caller)
{
    std::optional<std::string> response;
    bench.run_until(
        [&]
        {
            response = caller.take_response();
            return response.has_value();
        });
    return *response;
}

} // namespace

// Guards against an instance that runs out of memory, with every request on it, because one target
// sends without end.
TEST_CASE("an answer without end is given up and takes little memory")
{
    const auto row = GENERATE(from_range(endless_rows()));
    INFO(row.name);
    path_fixture bench(
        [](auto& values) { values.instance.memory_mb = memory_mb; }, close_delimited());
    scripted_target endless(bench.loop, {.answer = row.begin, .endless = row.more});
    bench.grant({endless.address()});
    const std::string response = bench.ask(path_fixture::request("POST"));
    CHECK(status_of(response) == 502);
    CHECK(field_of(response, "catkintally-outcome") == "unknown");
    CHECK(endless.endless_bytes < body_bytes + socket_bytes);
    // The connection is closed, so that the target can stop.
    bench.run_until([&] { return endless.closed_by_peer == 1; });
    CHECK(endless.requests == 1);
}

// Guards against ordinary requests that fail because other targets have taken all memory, and
// against an idempotent request that ends with the target that never does.
TEST_CASE("other requests are answered beside answers without end")
{
    constexpr std::size_t callers = 40;
    path_fixture bench([](auto& values) { values.instance.memory_mb = memory_mb; });
    scripted_target endless(
        bench.loop, {.answer = ok + "Transfer-Encoding: chunked\r\n\r\n",
                     .endless = "2000\r\n" + std::string(0x2000, 'x') + "\r\n",
                     .hold = true});
    scripted_target good(bench.loop, {});

    // Each of these asks the endless target first and then the other one.
    bench.grant({endless.address()});
    std::vector<std::unique_ptr<raw_caller>> asking;
    for (std::size_t index = 0; index < callers; ++index)
    {
        asking.push_back(std::make_unique<raw_caller>(bench.loop, bench.self->front().port()));
        asking.back()->send(path_fixture::request("GET"));
    }
    bench.run_until([&] { return endless.requests == callers; });
    bench.grant({good.address()});
    endless.release();
    CHECK(status_of(bench.ask(path_fixture::request("POST"))) == 200);
    for (const auto& caller : asking)
    {
        CHECK(status_of(response_to(bench, *caller)) == 200);
    }
}

// Guards against a connection without a request on which a target sends without end: nobody reads
// there, so the bytes would pile up.
TEST_CASE("bytes that nobody asked for do not pile up")
{
    path_fixture bench;
    scripted_target target(bench.loop, {});
    bench.grant({target.address()});
    CHECK(status_of(bench.ask(path_fixture::request("POST"))) == 200);
    target.script.endless = std::string(20'000, 'x');
    target.send_all("x");
    bench.run_until([&] { return target.closed_by_peer == 1; });
    CHECK(target.endless_bytes < socket_bytes);
}

// Guards against an upload that is refused after its body was sent for nothing, against a refusal
// that is not true, and against one that lasts when the memory is free again.
TEST_CASE("an upload without memory for it is refused before its body is read")
{
    path_fixture bench([](auto& values) { values.instance.memory_mb = memory_mb; });
    scripted_target target(bench.loop, {.hold = true});
    bench.grant({target.address()});
    constexpr std::size_t size = 1'000'000;
    const auto upload = [&](std::size_t length)
    {
        return "POST /pay HTTP/1.1\r\nHost: desk.example\r\nContent-Length: " +
               std::to_string(length) + "\r\n\r\n";
    };

    // Three bodies of a quarter each are all that large bodies may take.
    std::vector<std::unique_ptr<raw_caller>> sending;
    for (int index = 0; index < 3; ++index)
    {
        sending.push_back(std::make_unique<raw_caller>(bench.loop, bench.self->front().port()));
        sending.back()->send(upload(size) + std::string(size / 2, 'x'));
    }
    bench.settle();
    const std::string refused = bench.ask(upload(size));
    CHECK(status_of(refused) == 503);
    CHECK(field_of(refused, "catkintally-outcome") == "not-run");
    CHECK(field_of(refused, "catkintally-reason") == "no_body_memory");
    CHECK(field_of(refused, "Retry-After") == "1");
    CHECK(bench.asked.empty());

    // A small request still gets through.
    target.script.hold = false;
    CHECK(status_of(bench.ask(path_fixture::request("POST"))) == 200);

    // The others finish, and then there is room.
    for (const auto& caller : sending)
    {
        caller->send(std::string(size / 2, 'x'));
        CHECK(status_of(response_to(bench, *caller)) == 200);
    }
    sending.clear();
    CHECK(status_of(bench.ask(upload(size) + std::string(size, 'x'))) == 200);
    CHECK(target.requests == 5);
}

// Guards against answers that are kept for callers of the same key and use up the memory for bodies
// under way.
TEST_CASE("kept answers of keyed requests do not count as bodies under way")
{
    path_fixture bench([](auto& values) { values.instance.memory_mb = memory_mb; });
    const std::string body(60'000, 'x');
    scripted_target target(
        bench.loop,
        {.answer = ok + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body});
    bench.grant({target.address()});
    for (int index = 0; index < 100; ++index)
    {
        const std::string key = "Idempotency-Key: k" + std::to_string(index) + "\r\n";
        REQUIRE(status_of(bench.ask(path_fixture::request("POST", key))) == 200);
    }
    // The fixture keeps them, as the fleet does.
    REQUIRE(bench.completed.size() == 100);
    CHECK(bench.completed.back().second->body.size() == body.size());
}
