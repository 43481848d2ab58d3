#include "support/path_fixture.hpp"

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

std::string answer(const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
           "\r\n" + body;
}

} // namespace

// Guards against a request that runs at a target which has taken over another one's address, and
// against a caller that can choose the target.
TEST_CASE("a request names its target and keeps its caller's id")
{
    path_fixture bench([](auto&) {}, dialect());
    scripted_target target(bench.loop, {});
    bench.grant({target.address()});
    const std::string response =
        bench.ask(path_fixture::request("POST", "X-Id: abc\r\nX-For: other\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(field_of(target.last_request, "X-Id") == "abc");
    CHECK(field_of(target.last_request, "X-For") == "t1");
    CHECK(target.last_request.find("other") == std::string::npos);
    CHECK(bench.asked.at(0).trace_id == "abc");
}

// Guards against the answer to another request, which may arrive where this one's is due.
TEST_CASE("an answer that names another request is skipped")
{
    struct row
    {
        const char* name;
        std::string answer;
        int status;
        std::string body;
    };
    const auto sample = GENERATE(values<row>(
        {{"own", answer("X-Id: abc\r\n", "mine"), 200, "mine"},
         {"unnamed", answer("", "mine"), 200, "mine"},
         {"other, then own", answer("X-Id: old\r\n", "theirs") + answer("X-Id: abc\r\n", "mine"),
          200, "mine"},
         {"other in pieces, then own",
          "HTTP/1.1 200 OK\r\nContent-Le|ngth: 2\r\nX-Id: old\r\n\r\nn|o" +
              answer("X-Id: abc\r\n", "mine"),
          200, "mine"},
         {"other, then the end",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n"
          "X-Id: old\r\n\r\nno",
          502, ""}}));
    INFO(sample.name);
    path_fixture bench([](auto&) {}, dialect());
    scripted_target target(
        bench.loop, {.answer = sample.answer, .close_after = sample.status == 502});
    bench.grant({target.address()});
    const std::string response = bench.ask(path_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == sample.status);
    if (sample.status == 200)
    {
        CHECK(body_of(response) == sample.body);
    }
    // A connection on which a strange answer came is not used again.
    target.script.answer = answer("X-Id: def\r\n", "next");
    CHECK(body_of(bench.ask(path_fixture::request("POST", "X-Id: def\r\n"))) == "next");
    const bool kept = std::string(sample.name) == "own" || std::string(sample.name) == "unnamed";
    CHECK(target.accepted == (kept ? 1 : 2));
}

// Guards against the answer to a health check that passes for the answer to the next request of the
// connection: on a played day a caller got a success that no target had given it.
TEST_CASE("an answer without an id is skipped where targets always name the request")
{
    core::target_dialect strict = dialect();
    strict.responses_carry_request_id = true;
    path_fixture bench([](auto&) {}, strict);
    scripted_target target(
        bench.loop, {.answer = answer("", "health") + answer("X-Id: abc\r\n", "mine")});
    bench.grant({target.address()});
    const std::string response = bench.ask(path_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(body_of(response) == "mine");
}

// Guards against an answer without length that is refused although it is whole.
TEST_CASE("an answer without length is whole when its connection ends in order")
{
    path_fixture bench([](auto&) {}, dialect());
    scripted_target target(
        bench.loop,
        {.answer = "HTTP/1.1 200 OK\r\nX-Id: abc\r\n\r\nall of |it", .close_after = true});
    bench.grant({target.address()});
    const std::string response = bench.ask(path_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(body_of(response) == "all of it");
    CHECK(field_of(response, "Content-Length") == "9");
}

// Guards against a refusal of a target that is forwarded without advice, and against "not run" for
// an answer that does not state it.
TEST_CASE("only a stated refusal is sent again or reported as not run")
{
    struct row
    {
        const char* fields;
        int status;
        std::size_t sendings;
    };
    const auto sample = GENERATE(values<row>({{"X-Unrun: 1\r\n", 503, 2}, {"", 503, 1}}));
    path_fixture bench([](auto&) {}, dialect());
    scripted_target target(
        bench.loop, {.answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" +
                               std::string(sample.fields) + "\r\n"});
    bench.grant({target.address(), target.address()});
    bench.answers.emplace_back();
    bench.answers.back().code = core::decision_code::refused_queue_full;
    bench.answers.back().claim = core::run_claim::not_run;
    bench.answers.back().retry_after = std::chrono::milliseconds(250);
    const std::string response = bench.ask(path_fixture::request("POST", "X-Id: abc\r\n"));
    CHECK(status_of(response) == sample.status);
    CHECK(target.requests == sample.sendings);
    const bool stated = *sample.fields != '\0';
    CHECK(field_of(response, "catkintally-outcome") == (stated ? "not-run" : ""));
    CHECK(field_of(response, "Retry-After") == (stated ? "0.3" : ""));
}

// Guards against a failure that is passed on although another target would answer, and against an
// answer that gets lost because no other target is there.
TEST_CASE("a failure of a target is passed on only if an idempotent request finds no other one")
{
    struct row
    {
        std::string method;
        bool other;
        int status;
    };
    const auto sample =
        GENERATE(values<row>({{"GET", true, 200}, {"GET", false, 500}, {"POST", true, 500}}));
    path_fixture bench([](auto&) {}, dialect());
    scripted_target failing(
        bench.loop, {.answer = "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops"});
    scripted_target good(bench.loop, {});
    bench.grant({failing.address(), good.address()});
    if (!sample.other)
    {
        bench.answers.back() = {};
        bench.answers.back().code = core::decision_code::refused_retry_budget;
        bench.answers.back().claim = core::run_claim::not_run;
    }
    const std::string response = bench.ask(path_fixture::request(sample.method, "X-Id: abc\r\n"));
    CHECK(status_of(response) == sample.status);
    CHECK(body_of(response) == (sample.status == 200 ? "ok" : "oops"));
}
