#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::entry;
using catkintally::core::completion_outcome;

namespace
{

struct response_row
{
    std::string name;
    std::string method;
    target_script script;
    int status;
    std::string body;
    std::string outcome_field;
    completion_outcome reported_outcome;
};

target_script respond_with(const std::string& text, bool close_after = false)
{
    return {.answer = text, .close_after = close_after};
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string complete_response = ok + "Content-Length: 2\r\n\r\nok";
constexpr auto answered = completion_outcome::answered;
constexpr auto lost = completion_outcome::connection_lost;

} // namespace

// Guards against forwarding a response whose end is unknown, against rejecting or stalling a valid
// response, and against a non-idempotent request that reaches a target twice.
TEST_CASE("only complete target responses are forwarded and a POST reaches a target once")
{
    const auto row = GENERATE(values<response_row>({
        {"Content-Length", "POST", respond_with(complete_response), 200, "ok", "", answered},
        {"chunked", "POST",
         respond_with(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab|\r\n1\r\nc\r\n0\r\n\r\n"),
         200, "abc", "", answered},
        {"complete, then closed", "POST", respond_with(complete_response, true), 200, "ok", "",
         answered},
        {"HTTP/1.0 with Content-Length", "POST",
         respond_with("HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", true), 200, "x", "",
         answered},
        {"204", "POST", respond_with("HTTP/1.1 204 No Content\r\n\r\n"), 204, "", "", answered},
        {"304", "POST", respond_with("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"), 304,
         "", "", answered},
        {"error status", "POST", respond_with("HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nx"), 500,
         "x", "", completion_outcome::answered_error},
        {"HEAD", "HEAD", respond_with(ok + "Content-Length: 9\r\n\r\n"), 200, "", "", answered},
        {"100 and final response in one segment", "POST",
         respond_with("HTTP/1.1 100 Continue\r\n\r\n" + complete_response), 200, "ok", "",
         answered},
        {"100, then final response in the next segment", "POST",
         respond_with("HTTP/1.1 100 Continue\r\n\r\n|" + complete_response), 200, "ok", "",
         answered},
        {"103 and 102", "POST",
         respond_with(
             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n|\r\nHTTP/1.1 102 P\r\n\r\n" +
             complete_response),
         200, "ok", "", answered},
        {"head split over segments", "POST",
         respond_with("HTT|P/1.1 200 OK\r|\nContent-Len|gth: 2\r\n\r|\nok"), 200, "ok", "",
         answered},
        {"101", "POST", respond_with("HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n"), 502, "",
         "unknown", lost},
        {"too many interim responses", "POST",
         respond_with(
             []
             {
                 std::string text;
                 for (int i = 0; i < 40; ++i)
                 {
                     text += "HTTP/1.1 100 Continue\r\n\r\n";
                 }
                 return text + complete_response;
             }()),
         502, "", "unknown", lost},
        {"truncated body", "POST", respond_with(ok + "Content-Length: 9\r\n\r\nok", true), 502, "",
         "unknown", lost},
        {"truncated chunk", "POST",
         respond_with(ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nab", true), 502, "", "unknown",
         lost},
        {"missing last chunk", "POST",
         respond_with(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true), 502, "",
         "unknown", lost},
        {"malformed chunk size", "POST",
         respond_with(ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"), 502, "", "unknown",
         lost},
        {"chunk data without CRLF", "POST",
         respond_with(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab0\r\n\r\n"), 502, "",
         "unknown", lost},
        {"chunked body beyond the limit", "POST",
         respond_with(ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nab"), 502, "", "unknown",
         lost},
        {"trailer", "POST",
         respond_with(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n"), 200,
         "ab", "", answered},
        {"close-delimited", "POST", respond_with(ok + "\r\nok", true), 502, "", "unknown", lost},
        {"close-delimited with Connection: close", "POST",
         respond_with(ok + "Connection: close\r\n\r\nok", true), 502, "", "unknown", lost},
        {"conflicting Content-Length fields", "POST",
         respond_with(ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk"), 502, "", "unknown",
         lost},
        {"Content-Length and Transfer-Encoding", "POST",
         respond_with(
             ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
         502, "", "unknown", lost},
        {"malformed Content-Length", "POST", respond_with(ok + "Content-Length: 2x\r\n\r\nok"), 502,
         "", "unknown", lost},
        {"not HTTP", "POST", respond_with("hello\r\n\r\n"), 502, "", "unknown", lost},
        {"oversized head", "POST", respond_with(ok + "X: " + std::string(70'000, 'x') + "\r\n\r\n"),
         502, "", "unknown", lost},
        {"oversized body", "POST", respond_with(ok + "Content-Length: 2000000\r\n\r\nx"), 502, "",
         "unknown", lost},
        {"closed at accept", "POST", {.close_on_accept = true}, 502, "", "unknown", lost},
        {"closed during the request", "POST", {.close_after_bytes = 20}, 502, "", "unknown", lost},
        {"closed after the request", "POST", respond_with("", true), 502, "", "unknown", lost},
        {"closed within the head", "POST", respond_with("HTTP/1.1 200", true), 502, "", "unknown",
         lost},
    }));
    INFO(row.name);
    instance_fixture fixture([](auto& values) { values.targets.body_bytes = 1'000'000; });
    scripted_target target(fixture.loop, row.script);
    fixture.grant({target.address()});

    const std::string response = fixture.ask(instance_fixture::request(row.method));
    CHECK(status_of(response) == row.status);
    CHECK(field_of(response, "catkintally-outcome") == row.outcome_field);
    CHECK(field_of(response, "catkintally-request-id").size() == 16);
    if (row.status != 502)
    {
        CHECK(body_of(response) == row.body);
    }
    CHECK(target.accepted == 1);
    CHECK(target.begun <= 1);
    REQUIRE(fixture.completed.size() == 1);
    CHECK(fixture.completed[0].first.outcome == row.reported_outcome);
    CHECK(fixture.asked.size() == 1);
}

// Guards against a caller that gets a status which a target in trouble made up, such as 000.
TEST_CASE("an answer whose status is none is a lost answer")
{
    const std::string status = GENERATE(values<std::string>(
        {"000", "001", "099", "600", "999", "20", "2000", "0x1", "-20", "+20", " 200", "2 0", "",
         "abc"}));
    const std::string version = GENERATE(values<std::string>({"HTTP/1.1 ", "HTTP/1.0 "}));
    const bool after_interim = GENERATE(false, true);
    INFO(version << status << (after_interim ? ", after an interim answer" : ""));
    instance_fixture fixture;
    scripted_target bad(
        fixture.loop, {.answer = (after_interim ? "HTTP/1.1 100 Continue\r\n\r\n" : "") + version +
                                 status + " No\r\nContent-Length: 2\r\n\r\nno"});
    scripted_target good(fixture.loop, {});

    fixture.grant({bad.address()});
    const std::string response = fixture.ask(instance_fixture::request("POST"));
    CHECK(status_of(response) == 502);
    CHECK(field_of(response, "catkintally-outcome") == "unknown");
    REQUIRE(fixture.completed.size() == 1);
    CHECK(fixture.completed[0].first.outcome == lost);

    fixture.grant({bad.address(), good.address()});
    CHECK(status_of(fixture.ask(instance_fixture::request("GET"))) == 200);
    CHECK(good.requests == 1);
}

// Guards against an idempotent request that fails after one attempt or is retried on the failed
// target, and against "not run" being reported after an attempt that may have run.
TEST_CASE("an idempotent request is retried on another target")
{
    instance_fixture fixture;
    scripted_target bad(fixture.loop, {.answer = "", .close_after = true});
    scripted_target good(fixture.loop, {});
    fixture.grant({bad.address(), good.address()});
    CHECK(status_of(fixture.ask(instance_fixture::request("GET"))) == 200);
    REQUIRE(fixture.asked.size() == 2);
    CHECK_FALSE(fixture.asked[0].retry);
    CHECK(fixture.asked[1].retry);
    CHECK(fixture.asked[1].id == fixture.asked[0].id);
    CHECK(fixture.asked[1].excluded_targets == std::vector<std::string>{"t1"});
    CHECK(fixture.completed[0].first.outcome == lost);
    CHECK(fixture.completed[1].first.outcome == answered);

    fixture.grant({bad.address(), ""});
    fixture.answers.back() = {};
    fixture.answers.back().code = catkintally::core::decision_code::refused_retry_budget;
    fixture.answers.back().claim = catkintally::core::run_claim::not_run;
    const std::string response = fixture.ask(instance_fixture::request("GET"));
    CHECK(status_of(response) == 502);
    CHECK(field_of(response, "catkintally-outcome") == "unknown");
    CHECK(field_of(response, "catkintally-reason") == "refused_retry_budget");
}

// Guards against "not run" being reported for a request that ran, and against failing a request
// that did not run instead of retrying it.
TEST_CASE("a request proven not to have run is retried whatever its method")
{
    const std::string refused = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    const bool unreachable = GENERATE(true, false);
    const bool keyed = GENERATE(true, false);
    instance_fixture fixture;
    scripted_target busy(fixture.loop, {.answer = refused});
    scripted_target good(fixture.loop, {});
    std::string first_address = busy.address();
    if (unreachable)
    {
        // A port that was bound and closed again refuses connections.
        first_address = scripted_target(fixture.loop, {}).address();
    }
    const std::string request =
        instance_fixture::request("POST", keyed ? "Idempotency-Key: k1\r\n" : "");
    fixture.grant({first_address, good.address()});
    CHECK(status_of(fixture.ask(request)) == 200);
    CHECK(good.requests == 1);
    CHECK(fixture.completed[0].first.outcome == completion_outcome::not_run);
    CHECK(fixture.completed[1].first.outcome == answered);
    CHECK((fixture.completed[1].second != nullptr) == keyed);
    CHECK(fixture.asked[0].key == (keyed ? "k1" : ""));

    // Every attempt is refused: the response reports the refusal and that no target ran the
    // request.
    fixture.grant({first_address});
    const std::string response = fixture.ask(request);
    CHECK(status_of(response) == 503);
    CHECK(field_of(response, "catkintally-outcome") == (keyed ? "attempt-not-run" : "not-run"));
    CHECK(
        field_of(response, "catkintally-reason") ==
        (unreachable ? "target_unreachable" : "target_refused"));
}

// Guards against callers that are told to come back before the time that their target named.
TEST_CASE("a refusal passes on the longest Retry-After of the targets that refused")
{
    struct row
    {
        const char* name;
        std::string field;
        std::string retry_after;
    };
    const auto sample = GENERATE(values<row>(
        {{"seconds", "Retry-After: 2\r\n", "2.0"},
         {"fraction", "Retry-After: 1.25\r\n", "1.3"},
         {"shorter than usual", "Retry-After: 0.1\r\n", "0.3"},
         {"none", "", "0.3"},
         {"malformed", "Retry-After: soon\r\n", "0.3"},
         {"negative", "Retry-After: -5\r\n", "0.3"},
         {"absurd", "Retry-After: 999999999\r\n", "30.0"}}));
    INFO(sample.name);
    catkintally::core::target_dialect dialect;
    dialect.fractional_retry_after = true;
    instance_fixture fixture([](auto&) {}, dialect);
    scripted_target busy(
        fixture.loop,
        {.answer = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n" + sample.field + "\r\nbusy"});
    fixture.grant({busy.address()});
    const std::string response = fixture.ask(instance_fixture::request("POST"));
    CHECK(status_of(response) == 503);
    CHECK(field_of(response, "Retry-After") == sample.retry_after);
}
