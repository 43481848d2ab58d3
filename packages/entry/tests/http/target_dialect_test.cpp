#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::entry;
namespace core = catkintally::core;

namespace
{

core::target_dialect dialect()
{
    core::target_dialect out;
    out.request_id_header = "X-Id";
    out.callers_set_request_id = true;
    out.expected_target_header = "X-For";
    out.close_delimited_responses = true;
    out.fractional_retry_after = true;
    out.refused_unexecuted = [](const core::stored_answer& answer)
    { return find_field(answer.headers, "X-Unrun") != nullptr; };
    return out;
}

std::string ok_response(const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
           "\r\n" + body;
}

} // namespace

// Guards against a request that is run by a target which has taken over another one's address, and
// against a caller that can choose the target.
TEST_CASE("a request carries its target's name and its caller's request id")
{
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target target(fixture.loop, {});
    fixture.grant({target.address()});
    const std::string response =
        fixture.ask(instance_fixture::request("POST", "X-Id: abc\r\nX-For: other\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(field_of(target.last_request, "X-Id") == "abc");
    CHECK(field_of(target.last_request, "X-For") == "t1");
    CHECK(target.last_request.find("other") == std::string::npos);
    CHECK(fixture.asked.at(0).trace_id == "abc");
}

// Guards against forwarding the response to another request, which may arrive in place of the
// expected one.
TEST_CASE("a response that names another request is skipped")
{
    struct row
    {
        const char* name;
        std::string answer;
        int status;
        std::string body;
    };
    const auto sample = GENERATE(values<row>(
        {{"matching id", ok_response("X-Id: abc\r\n", "mine"), 200, "mine"},
         {"no id", ok_response("", "mine"), 200, "mine"},
         {"other id, then matching id",
          ok_response("X-Id: old\r\n", "theirs") + ok_response("X-Id: abc\r\n", "mine"), 200,
          "mine"},
         {"other id split over segments, then matching id",
          "HTTP/1.1 200 OK\r\nContent-Le|ngth: 2\r\nX-Id: old\r\n\r\nn|o" +
              ok_response("X-Id: abc\r\n", "mine"),
          200, "mine"},
         {"other id, then close",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n"
          "X-Id: old\r\n\r\nno",
          502, ""}}));
    INFO(sample.name);
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target target(
        fixture.loop, {.answer = sample.answer, .close_after = sample.status == 502});
    fixture.grant({target.address()});
    const std::string response = fixture.ask(instance_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == sample.status);
    if (sample.status == 200)
    {
        CHECK(body_of(response) == sample.body);
    }
    // A connection that delivered the response to another request is not reused.
    target.script.answer = ok_response("X-Id: def\r\n", "next");
    CHECK(body_of(fixture.ask(instance_fixture::request("POST", "X-Id: def\r\n"))) == "next");
    const bool connection_reused =
        std::string(sample.name) == "matching id" || std::string(sample.name) == "no id";
    CHECK(target.accepted == (connection_reused ? 1 : 2));
}

// Guards against taking the response to a health check for the response to the next request on the
// connection: in a test run over one day a caller received a success that no target had sent
// for its request.
TEST_CASE("a response without an id is skipped if the targets always name the request")
{
    core::target_dialect strict = dialect();
    strict.responses_carry_request_id = true;
    instance_fixture fixture([](auto&) {}, strict);
    scripted_target target(
        fixture.loop, {.answer = ok_response("", "health") + ok_response("X-Id: abc\r\n", "mine")});
    fixture.grant({target.address()});
    const std::string response = fixture.ask(instance_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(body_of(response) == "mine");
}

// Guards against rejecting a response without Content-Length although it is complete.
TEST_CASE("a close-delimited response is complete when its connection is closed cleanly")
{
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target target(
        fixture.loop,
        {.answer = "HTTP/1.1 200 OK\r\nX-Id: abc\r\n\r\nall of |it", .close_after = true});
    fixture.grant({target.address()});
    const std::string response = fixture.ask(instance_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(body_of(response) == "all of it");
    CHECK(field_of(response, "Content-Length") == "9");
}

// Guards against forwarding a target's refusal without Retry-After, and against "not run" being
// reported for a response that does not state it.
TEST_CASE("only an explicit refusal is retried or reported as not run")
{
    struct row
    {
        const char* fields;
        int status;
        std::size_t attempts;
    };
    const auto sample = GENERATE(values<row>({{"X-Unrun: 1\r\n", 503, 2}, {"", 502, 1}}));
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target target(
        fixture.loop, {.answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" +
                                 std::string(sample.fields) + "\r\n"});
    fixture.grant({target.address(), target.address()});
    fixture.answers.emplace_back();
    fixture.answers.back().code = core::decision_code::refused_queue_full;
    fixture.answers.back().claim = core::run_claim::not_run;
    fixture.answers.back().retry_after = std::chrono::milliseconds(250);
    const std::string response = fixture.ask(instance_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == sample.status);
    CHECK(target.requests == sample.attempts);
    const bool explicit_refusal = *sample.fields != '\0';
    CHECK(field_of(response, "catkintally-outcome") == (explicit_refusal ? "not-run" : "unknown"));
    CHECK(field_of(response, "Retry-After") == (explicit_refusal ? "0.3" : ""));
}

// Guards against forwarding an error response although another target would succeed, and against
// losing that response if no other target is available.
TEST_CASE("an error response is forwarded unless an idempotent request has another target")
{
    struct row
    {
        std::string method;
        bool other_available;
        int status;
    };
    const auto sample =
        GENERATE(values<row>({{"GET", true, 200}, {"GET", false, 500}, {"POST", true, 500}}));
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target failing(
        fixture.loop, {.answer = "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops"});
    scripted_target good(fixture.loop, {});
    fixture.grant({failing.address(), good.address()});
    if (!sample.other_available)
    {
        fixture.answers.back() = {};
        fixture.answers.back().code = core::decision_code::refused_retry_budget;
        fixture.answers.back().claim = core::run_claim::not_run;
    }
    const std::string response =
        fixture.ask(instance_fixture::request(sample.method, "X-Id: abc\r\n"));
    CHECK(status_of(response) == sample.status);
    CHECK(body_of(response) == (sample.status == 200 ? "ok" : "oops"));
}
