#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cerrno>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace catkintally::entry;
namespace core = catkintally::core;

namespace
{

/// Sends raw text and returns everything received until the instance closes the connection.
std::string send_raw(instance_fixture& fixture, const std::string& text)
{
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(text);
    fixture.run_until([&] { return caller.ended; });
    return caller.received;
}

const std::string host = "Host: desk.example\r\n";

/// A caller on a plain socket, which needs no running event loop.
class socket_caller
{
public:
    explicit socket_caller(std::uint16_t port)
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    ~socket_caller() { close(socket_); }
    socket_caller(const socket_caller&) = delete;
    socket_caller& operator=(const socket_caller&) = delete;

    void send(const std::string& text) const
    {
        REQUIRE(::send(socket_, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }

    /// Appends the received data to `text`; returns true once the connection has ended.
    [[nodiscard]] bool receive(std::string& text) const
    {
        std::array<char, 4'096> chunk{};
        const ssize_t size = recv(socket_, chunk.data(), chunk.size(), MSG_DONTWAIT);
        text.append(chunk.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        return size == 0 || (size < 0 && errno != EAGAIN);
    }

private:
    int socket_;
};

} // namespace

// Guards against request smuggling: a request that two parsers can read differently must get a
// response and must not reach a target.
TEST_CASE("invalid requests get a typed answer, reach no target and end the connection")
{
    struct row
    {
        std::string text;
        int status;
        std::string reason;
    };
    const auto sample = GENERATE(values<row>({
        {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400,
         "conflicting_length"},
        {"POST /a HTTP/1.1\r\n" + host +
             "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         400, "conflicting_length"},
        {"POST /a HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\nx", 400, "conflicting_length"},
        {"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501,
         "unknown_encoding"},
        {"POST /a HTTP/1.1\r\n" + host + "Content-Length : 1\r\n\r\nx", 400, "malformed"},
        {"POST /a HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", 400, "malformed"},
        {"POST /a HTTP/1.1\nHost: desk.example\n\n", 400, "malformed"},
        {"GET /a HTTP/1.1\r\n" + host + host + "\r\n", 400, "malformed"},
        {"GET /a HTTP/1.1\r\n\r\n", 400, "malformed"},
        {"GET /a/%2E./b HTTP/1.1\r\n" + host + "\r\n", 400, "malformed"},
        {"GET a HTTP/1.1\r\n" + host + "\r\n", 400, "malformed"},
        {"GET /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\n\r\nx", 400, "body_not_accepted"},
        {"GET http://other/a HTTP/1.1\r\n" + host + "\r\n", 400, "malformed"},
        {"GET /a HTTP/2.0\r\n" + host + "\r\n", 505, "unknown_version"},
        {"BREW /a HTTP/1.1\r\n" + host + "\r\n", 501, "unknown_method"},
        {"CONNECT /a HTTP/1.1\r\n" + host + "\r\n", 405, "method_not_allowed"},
        {"POST /a HTTP/1.1\r\n" + host + "Expect: tea\r\nContent-Length: 1\r\n\r\nx", 417,
         "unknown_expectation"},
        {"GET /a HTTP/1.1\r\n" + host + "X: " + std::string(20'000, 'x') + "\r\n\r\n", 431,
         "head_too_large"},
        {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 3000000\r\n\r\n" +
             std::string(100'000, 'x'),
         413, "body_too_large"},
        {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 1500000\r\n\r\n" +
             std::string(1'500'000, 'x'),
         413, "body_too_large"},
        {"GET /a HTTP/1.1\r\n" + host + "catkintally-deadline-ms: soon\r\n\r\n", 400,
         "bad_deadline"},
        {"POST /a HTTP/1.1\r\n" + host + "Idempotency-Key:\r\nContent-Length: 0\r\n\r\n", 400,
         "bad_key"},
        {"POST /a HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nslow", 408, "slow_caller"},
    }));
    INFO(sample.text.substr(0, 200));
    instance_fixture fixture(
        [](auto& values)
        {
            values.callers.body_bytes = 2'000'000;
            values.callers.request_time_ms = 1'000;
        });
    const std::string response = send_raw(fixture, sample.text);
    CHECK(status_of(response) == sample.status);
    CHECK(field_of(response, "catkintally-reason") == sample.reason);
    CHECK(field_of(response, "catkintally-outcome") == "not-run");
    CHECK(field_of(response, "catkintally-request-id").size() == 16);
    CHECK(fixture.asked.empty());
}

// Guards against a malformed or too large chunked body that reaches a target, whether it arrives in
// one segment or in several.
TEST_CASE("a request with a bad chunked body is refused")
{
    struct row
    {
        std::string body;
        int status;
    };
    const std::string chunk = "3e8\r\n" + std::string(1'000, 'x') + "\r\n";
    const auto sample = GENERATE_COPY(values<row>(
        {{"zz\r\nab\r\n0\r\n\r\n", 400},
         {"2\r\nab0\r\n\r\n", 400},
         {"2\r\nab\r\n0\r\nHost: other\r\n\r\n", 400},
         {chunk + chunk + "0\r\n\r\n", 413}}));
    const bool pieces = GENERATE(false, true);
    instance_fixture fixture([](auto& values) { values.callers.body_bytes = 1'500; });
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send("POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t at = 0; at < sample.body.size();)
    {
        const std::size_t step = pieces ? 3 : sample.body.size();
        caller.send(sample.body.substr(at, step));
        at += step;
        fixture.run_until_idle();
    }
    fixture.run_until([&] { return caller.ended; });
    CHECK(status_of(caller.received) == sample.status);
    CHECK(field_of(caller.received, "catkintally-outcome") == "not-run");
    CHECK(fixture.asked.empty());
}

// Guards against a truncated request that is taken for a complete one.
TEST_CASE("a request whose caller disconnects during the body reaches no target")
{
    instance_fixture fixture;
    {
        raw_caller caller(fixture.loop, fixture.self->front().port());
        caller.send("POST /a HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nhalf");
        fixture.run_until([&] { return fixture.self->front().is_busy(); });
    }
    fixture.run_until([&] { return !fixture.self->front().is_busy(); });
    CHECK(fixture.asked.empty());
}

// Guards against responses that are swapped or lost on one connection, and against a head that
// follows a body and is not checked.
TEST_CASE("pipelined requests are answered in order and each head is checked")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {.hold = true});
    fixture.grant({target.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    const std::string chunked = "POST /open/2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n1\r\na|\r\n2\r\nbc\r\n0\r\n\r\n";
    caller.send(instance_fixture::request("POST") + "\r\n" + chunked.substr(0, chunked.find('|')));
    fixture.run_until([&] { return target.requests == 1; });
    target.script.answer = "HTTP/1.1 201 OK\r\nContent-Length: 1\r\n\r\n2";
    target.release();
    fixture.run_until([&] { return !caller.received.empty(); });
    caller.send(chunked.substr(chunked.find('|') + 1) + "BREW / HTTP/1.1\r\n\r\n");
    fixture.run_until([&] { return caller.ended; });
    CHECK(target.last_request.ends_with("\r\n\r\nabc"));
    CHECK(field_of(target.last_request, "Content-Length") == "3");
    std::vector<int> statuses;
    while (const auto response = caller.take_response())
    {
        statuses.push_back(status_of(*response));
    }
    CHECK(statuses == std::vector<int>{200, 201, 501});
}

// Guards against a caller that waits for 100 Continue and never gets it.
TEST_CASE("Expect: 100-continue is answered before the body arrives")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {});
    fixture.grant({target.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(
        "POST /open HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n" + host + "\r\n");
    std::optional<std::string> response;
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == 100);
    caller.send("x");
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == 200);
}

// Guards against hop-by-hop fields that are forwarded, and against missing proxy fields.
TEST_CASE("hop-by-hop fields are removed and proxy fields are added")
{
    instance_fixture fixture;
    scripted_target target(
        fixture.loop,
        {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Own\r\nX-Own: 1\r\n"
                   "Keep-Alive: a\r\nX-Kept: 1\r\ncatkintally-outcome: not-run\r\n"
                   "catkintally-load: running=2 queued=3 phase=cold later=1\r\n\r\nok"});
    fixture.grant({target.address()});
    const std::string response = fixture.ask(instance_fixture::request(
        "POST", "Connection: X-Hop, close\r\nX-Hop: 1\r\nTE: trailers\r\nX-Through: 1\r\n"
                "Via: 1.0 front\r\nForwarded: for=10.0.0.1\r\nExpect: 100-continue\r\n"
                "catkintally-deadline-ms: 900000\r\ncatkintally-request-id: mine\r\n"));
    CHECK(status_of(response) == 200);

    const std::string& sent = target.last_request;
    CHECK(sent.starts_with("POST /pay?x=1 HTTP/1.1\r\n"));
    for (const char* name : {"X-Hop", "TE", "Expect", "Connection", "Transfer-Encoding"})
    {
        INFO(name);
        CHECK(field_of(sent, name).empty());
    }
    CHECK(field_of(sent, "Host") == "desk.example");
    CHECK(field_of(sent, "X-Through") == "1");
    CHECK(field_of(sent, "Via") == "1.0 front, 1.1 catkintally");
    CHECK(field_of(sent, "Forwarded") == "for=10.0.0.1, for=127.0.0.1;proto=http");
    CHECK(field_of(sent, "catkintally-request-id").size() == 16);
    // A caller cannot extend the service's deadline.
    CHECK(std::stoi(field_of(sent, "catkintally-deadline-ms")) <= 10'000);
    CHECK(sent.ends_with("\r\n\r\nbody"));

    const std::string answer =
        fixture.ask("GET http://desk.example/pay HTTP/1.0\r\nHost: desk.example\r\n\r\n");
    CHECK(target.last_request.starts_with("GET /pay HTTP/1.1\r\n"));
    CHECK(field_of(answer, "X-Kept") == "1");
    CHECK(field_of(answer, "Via") == "1.1 catkintally");
    for (const char* name : {"X-Own", "Keep-Alive", "catkintally-load", "catkintally-outcome"})
    {
        INFO(name);
        CHECK(field_of(answer, name).empty());
    }
    REQUIRE(fixture.completed.back().first.load);
    CHECK(fixture.completed.back().first.load->queued == 3);
    CHECK(fixture.completed.back().first.load->cold);
}

// Guards against a refusal whose status, claim or Retry-After misleads the caller.
TEST_CASE("refusals of the fleet carry status, outcome, reason and Retry-After")
{
    struct row
    {
        core::decision_code code;
        core::run_claim claim;
        int status;
        std::string outcome;
    };
    using core::decision_code;
    using core::run_claim;
    const auto sample = GENERATE(values<row>({
        {decision_code::refused_queue_full, run_claim::not_run, 503, "not-run"},
        {decision_code::refused_no_owner, run_claim::attempt_not_run, 503, "attempt-not-run"},
        {decision_code::key_in_progress, run_claim::in_progress, 409, "in-progress"},
        {decision_code::key_already_run, run_claim::already_run, 409, "already-run"},
        {decision_code::key_outcome_unknown, run_claim::unknown, 502, "unknown"},
    }));
    instance_fixture fixture;
    core::admission_answer answer;
    answer.code = sample.code;
    answer.claim = sample.claim;
    answer.retry_after = std::chrono::milliseconds(1'200);
    fixture.answers = {answer};
    const std::string response = fixture.ask(instance_fixture::request("POST"));
    CHECK(status_of(response) == sample.status);
    CHECK(field_of(response, "catkintally-outcome") == sample.outcome);
    CHECK(
        field_of(response, "catkintally-reason") ==
        catkintally::wire::EnumNamedecision_code(sample.code));
    CHECK(field_of(response, "Retry-After") == "2");
    CHECK(fixture.completed.empty());
}

// Guards against a repeated idempotency key whose caller does not get the stored response.
TEST_CASE("a stored response is replayed completely")
{
    instance_fixture fixture;
    scripted_target target(
        fixture.loop, {.answer = "HTTP/1.1 201 Made\r\nContent-Length: 2\r\nX-A: 1\r\n\r\nno"});
    fixture.grant({target.address()});
    const std::string request = instance_fixture::request("POST", "Idempotency-Key: k\r\n");
    CHECK(status_of(fixture.ask(request)) == 201);
    core::admission_answer answer;
    answer.code = core::decision_code::key_already_run;
    answer.claim = core::run_claim::already_run;
    answer.replay = fixture.completed.at(0).second;
    fixture.answers = {answer};
    const std::string response = fixture.ask(request);
    CHECK(status_of(response) == 201);
    CHECK(body_of(response) == "no");
    CHECK(field_of(response, "X-A") == "1");
    CHECK(field_of(response, "catkintally-outcome") == "already-run");
    CHECK(target.requests == 1);
}

// Guards against a request without a matching service that closes the caller's connection, and
// against a health check that needs a service in the table.
TEST_CASE("requests without a service and health checks are answered by the instance")
{
    instance_fixture fixture;
    const std::string missing = fixture.ask("GET /none HTTP/1.1\r\nHost: other\r\n\r\n");
    CHECK(status_of(missing) == 404);
    CHECK(field_of(missing, "Connection").empty());
    const std::string health = "GET /catkintally/health HTTP/1.1\r\nHost: x\r\n\r\n";
    CHECK(status_of(fixture.ask(health)) == 200);
    fixture.joined = false;
    CHECK(status_of(fixture.ask(health)) == 503);
}

// Guards against head-of-line blocking of pipelined requests: a request must be handled while the
// one before it is still unanswered, and its response must be sent after that one's.
TEST_CASE("pipelined requests are handled concurrently and answered in order")
{
    instance_fixture fixture;
    scripted_target slow(fixture.loop, {.hold = true});
    scripted_target fast(
        fixture.loop, {.answer = "HTTP/1.1 201 Made\r\nContent-Length: 4\r\n\r\nfast"});
    fixture.grant({slow.address(), fast.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(instance_fixture::request("GET") + instance_fixture::request("GET"));
    fixture.run_until([&] { return slow.requests == 1 && fast.requests == 1; });
    fixture.run_until([&] { return fixture.completed.size() == 1; });
    fixture.run_until_idle();
    CHECK(caller.received.empty());
    slow.release();
    std::vector<int> statuses;
    fixture.run_until(
        [&]
        {
            if (const auto response = caller.take_response())
            {
                statuses.push_back(status_of(*response));
            }
            return statuses.size() == 2;
        });
    CHECK(statuses == std::vector<int>{200, 201});
}

// Guards against requests that were read and passed on but lose their responses because an earlier
// response closes the connection.
TEST_CASE("a stopping instance answers all pipelined requests before it closes the connection")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {.hold = true});
    fixture.grant({target.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(
        instance_fixture::request("GET") + instance_fixture::request("GET") +
        instance_fixture::request("GET"));
    fixture.run_until([&] { return target.requests == 3; });
    bool stopped = false;
    fixture.self->stop([&] { stopped = true; });
    target.release();
    fixture.run_until([&] { return caller.ended; });
    std::vector<std::string> connections;
    while (const auto response = caller.take_response())
    {
        CHECK(status_of(*response) == 200);
        connections.push_back(field_of(*response, "Connection"));
    }
    CHECK(connections == std::vector<std::string>{"", "", "close"});
    fixture.run_until([&] { return stopped; });
}

// Guards against request smuggling by chunked bodies that two parsers end at different places.
TEST_CASE("chunked bodies are parsed strictly, in one segment or in many")
{
    struct row
    {
        std::string body;
        int status;
    };
    const auto sample = GENERATE(values<row>(
        {{"2\r\nab\r\n0\r\n\r\n", 200},
         {"0A\r\n0123456789\r\n000\r\n\r\n", 200},
         {"1;a=b\r\nx\r\n0\r\n\r\n", 400},
         {"2\r\nab0\r\n\r\n", 400},
         {"\r\n", 400},
         {"-1\r\n", 400},
         {"0x1\r\n", 400},
         {"10000000000000000\r\n", 400},
         {"11\r\n12345678901234567\r\n0\r\n\r\n", 413},
         {"9\r\n123456789\r\n8\r\n12345678\r\n0\r\n\r\n", 413},
         {"0\r\nA: b\r\n\r\n", 400}}));
    const bool pieces = GENERATE(false, true);
    INFO(sample.body);
    instance_fixture fixture([](auto& values) { values.callers.body_bytes = 16; });
    scripted_target target(fixture.loop, {});
    fixture.grant({target.address()});
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send("POST /pay HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t at = 0; at < sample.body.size();)
    {
        const std::size_t step = pieces ? 1 : sample.body.size();
        caller.send(sample.body.substr(at, step));
        at += step;
        fixture.run_until_idle();
    }
    std::optional<std::string> response;
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == sample.status);
    CHECK(target.requests == (sample.status == 200 ? 1 : 0));
}

// Guards against a planned stop that resets connections in the listen queue, whose callers have
// sent their request or are about to send it.
TEST_CASE("a stopping instance answers callers whose connections it has not accepted yet")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {});
    fixture.grant({target.address()});
    const std::uint16_t port = fixture.self->front().port();
    const std::string request = instance_fixture::request("GET");
    // The loop does not run, so both connections wait in the listen queue.
    const socket_caller early(port);
    early.send(request);
    const socket_caller late(port);
    fixture.self->front().begin_drain();
    fixture.self->front().close_listener();
    CHECK(fixture.self->front().is_busy());
    late.send(request);
    for (const socket_caller* caller : {&early, &late})
    {
        std::string response;
        fixture.run_until([&] { return caller->receive(response); });
        CHECK(status_of(response) == 200);
        CHECK(field_of(response, "Connection") == "close");
    }
}
