#include "support/path_fixture.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::entry;
using catkintally::core::completion_outcome;

namespace
{

struct answer_row
{
    std::string name;
    std::string method;
    target_script script;
    int status;
    std::string body;
    std::string outcome;
    completion_outcome reported;
};

target_script answers(const std::string& text, bool close_after = false)
{
    return {.answer = text, .close_after = close_after};
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string whole = ok + "Content-Length: 2\r\n\r\nok";
constexpr auto answered = completion_outcome::answered;
constexpr auto lost = completion_outcome::connection_lost;

} // namespace

// Guards against an answer that is forwarded although its end is unknown, against a good answer
// that is refused or stalls, and against a non-idempotent request that reaches a target twice.
TEST_CASE("only whole answers are forwarded and a POST reaches a target once")
{
    const auto row = GENERATE(values<answer_row>({
        {"length", "POST", answers(whole), 200, "ok", "", answered},
        {"chunked", "POST",
         answers(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab|\r\n1\r\nc\r\n0\r\n\r\n"), 200,
         "abc", "", answered},
        {"whole and closed", "POST", answers(whole, true), 200, "ok", "", answered},
        {"1.0 with length", "POST", answers("HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", true),
         200, "x", "", answered},
        {"204", "POST", answers("HTTP/1.1 204 No Content\r\n\r\n"), 204, "", "", answered},
        {"304", "POST", answers("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"), 304, "",
         "", answered},
        {"error answer", "POST", answers("HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nx"), 500, "x",
         "", completion_outcome::answered_error},
        {"HEAD", "HEAD", answers(ok + "Content-Length: 9\r\n\r\n"), 200, "", "", answered},
        {"100 and final in one segment", "POST", answers("HTTP/1.1 100 Continue\r\n\r\n" + whole),
         200, "ok", "", answered},
        {"100, then final", "POST", answers("HTTP/1.1 100 Continue\r\n\r\n|" + whole), 200, "ok",
         "", answered},
        {"103 and 102", "POST",
         answers("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n|\r\nHTTP/1.1 102 P\r\n\r\n" + whole),
         200, "ok", "", answered},
        {"head in pieces", "POST", answers("HTT|P/1.1 200 OK\r|\nContent-Len|gth: 2\r\n\r|\nok"),
         200, "ok", "", answered},
        {"101", "POST", answers("HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n"), 502, "", "unknown",
         lost},
        {"endless interim heads", "POST",
         answers(
             []
             {
                 std::string text;
                 for (int i = 0; i < 40; ++i)
                 {
                     text += "HTTP/1.1 100 Continue\r\n\r\n";
                 }
                 return text + whole;
             }()),
         502, "", "unknown", lost},
        {"truncated body", "POST", answers(ok + "Content-Length: 9\r\n\r\nok", true), 502, "",
         "unknown", lost},
        {"truncated chunk", "POST", answers(ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nab", true),
         502, "", "unknown", lost},
        {"missing last chunk", "POST",
         answers(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true), 502, "", "unknown",
         lost},
        {"bad chunk", "POST", answers(ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"), 502,
         "", "unknown", lost},
        {"chunk without line end", "POST",
         answers(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab0\r\n\r\n"), 502, "", "unknown",
         lost},
        {"chunked body beyond the limit", "POST",
         answers(ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nab"), 502, "", "unknown", lost},
        {"trailer", "POST",
         answers(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n"), 200, "ab",
         "", answered},
        {"close-delimited", "POST", answers(ok + "\r\nok", true), 502, "", "unknown", lost},
        {"close-delimited with Connection: close", "POST",
         answers(ok + "Connection: close\r\n\r\nok", true), 502, "", "unknown", lost},
        {"two lengths", "POST", answers(ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk"),
         502, "", "unknown", lost},
        {"length and encoding", "POST",
         answers(
             ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
         502, "", "unknown", lost},
        {"unreadable length", "POST", answers(ok + "Content-Length: 2x\r\n\r\nok"), 502, "",
         "unknown", lost},
        {"no HTTP", "POST", answers("hello\r\n\r\n"), 502, "", "unknown", lost},
        {"oversized head", "POST", answers(ok + "X: " + std::string(70'000, 'x') + "\r\n\r\n"), 502,
         "", "unknown", lost},
        {"oversized body", "POST", answers(ok + "Content-Length: 2000000\r\n\r\nx"), 502, "",
         "unknown", lost},
        {"closed at accept", "POST", {.close_on_accept = true}, 502, "", "unknown", lost},
        {"closed during the request", "POST", {.close_after_bytes = 20}, 502, "", "unknown", lost},
        {"closed after the request", "POST", answers("", true), 502, "", "unknown", lost},
        {"closed within the head", "POST", answers("HTTP/1.1 200", true), 502, "", "unknown", lost},
    }));
    INFO(row.name);
    path_fixture bench([](auto& values) { values.targets.body_bytes = 1'000'000; });
    scripted_target target(bench.loop, row.script);
    bench.grant({target.address()});

    const std::string response = bench.ask(path_fixture::request(row.method));
    CHECK(status_of(response) == row.status);
    CHECK(field_of(response, "catkintally-outcome") == row.outcome);
    CHECK(field_of(response, "catkintally-request-id").size() == 16);
    if (row.status != 502)
    {
        CHECK(body_of(response) == row.body);
    }
    CHECK(target.accepted == 1);
    CHECK(target.begun <= 1);
    REQUIRE(bench.completed.size() == 1);
    CHECK(bench.completed[0].first.outcome == row.reported);
    CHECK(bench.asked.size() == 1);
}

// Guards against an idempotent request that is given up after one failure or sent to the failed
// target again, and against a claim that nothing ran after a sending that may have run.
TEST_CASE("an idempotent request is sent again to another target")
{
    path_fixture bench;
    scripted_target bad(bench.loop, {.answer = "", .close_after = true});
    scripted_target good(bench.loop, {});
    bench.grant({bad.address(), good.address()});
    CHECK(status_of(bench.ask(path_fixture::request("GET"))) == 200);
    REQUIRE(bench.asked.size() == 2);
    CHECK_FALSE(bench.asked[0].retry);
    CHECK(bench.asked[1].retry);
    CHECK(bench.asked[1].id == bench.asked[0].id);
    CHECK(bench.asked[1].excluded_targets == std::vector<std::string>{"t1"});
    CHECK(bench.completed[0].first.outcome == lost);
    CHECK(bench.completed[1].first.outcome == answered);

    bench.grant({bad.address(), ""});
    bench.answers.back() = {};
    bench.answers.back().code = catkintally::core::decision_code::refused_retry_budget;
    bench.answers.back().claim = catkintally::core::run_claim::not_run;
    const std::string response = bench.ask(path_fixture::request("GET"));
    CHECK(status_of(response) == 502);
    CHECK(field_of(response, "catkintally-outcome") == "unknown");
    CHECK(field_of(response, "catkintally-reason") == "refused_retry_budget");
}

// Guards against "not run" for a request that ran, and against giving up work that did not run.
TEST_CASE("a request proven not to have run is sent again whatever its method")
{
    const std::string refused = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    const bool unreachable = GENERATE(true, false);
    const bool keyed = GENERATE(true, false);
    path_fixture bench;
    scripted_target busy(bench.loop, {.answer = refused});
    scripted_target good(bench.loop, {});
    std::string first = busy.address();
    if (unreachable)
    {
        // A port that was bound and closed again refuses connections.
        first = scripted_target(bench.loop, {}).address();
    }
    const std::string request =
        path_fixture::request("POST", keyed ? "Idempotency-Key: k1\r\n" : "");
    bench.grant({first, good.address()});
    CHECK(status_of(bench.ask(request)) == 200);
    CHECK(good.requests == 1);
    CHECK(bench.completed[0].first.outcome == completion_outcome::not_run);
    CHECK(bench.completed[1].first.outcome == answered);
    CHECK((bench.completed[1].second != nullptr) == keyed);
    CHECK(bench.asked[0].key == (keyed ? "k1" : ""));

    // Every sending is refused: the response says so and no target ran it.
    bench.grant({first});
    const std::string response = bench.ask(request);
    CHECK(status_of(response) == 503);
    CHECK(field_of(response, "catkintally-outcome") == (keyed ? "attempt-not-run" : "not-run"));
    CHECK(
        field_of(response, "catkintally-reason") ==
        (unreachable ? "target_unreachable" : "target_refused"));
}
