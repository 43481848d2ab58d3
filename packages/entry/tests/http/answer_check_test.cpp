#include "support/instance_fixture.hpp"

#include <catkintally/entry/http/answer_check.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::entry;
namespace core = catkintally::core;

namespace
{

/// Targets mark what they did not execute and sign each success.
core::target_dialect dialect()
{
    core::target_dialect out;
    out.signature_header = "X-Signature";
    out.refused_unexecuted = [](const core::stored_answer& answer)
    { return find_field(answer.headers, "X-Unrun") != nullptr; };
    return out;
}

std::string answer(int status, const std::string& fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: 2\r\n" + fields +
           "\r\nok";
}

} // namespace

// Guards against a caller that sends an order again because it was told that the order was not
// executed, though the target only said that it failed.
TEST_CASE("a refusal that is not proven does not reach the caller of a non-idempotent request")
{
    const int status = GENERATE(503, 429, 408, 421);
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target target(fixture.loop, {.answer = answer(status, "X-Signature: a\r\n")});
    fixture.grant({target.address()});
    const std::string response = fixture.ask(instance_fixture::request("POST"));
    CHECK(status_of(response) == 502);
    CHECK(field_of(response, "X-Signature").empty());
    CHECK(field_of(response, "catkintally-reason") == "unproven_refusal");
    REQUIRE(fixture.completed.size() == 1);
    CHECK(fixture.completed[0].first.outcome == core::completion_outcome::answered_error);
}

TEST_CASE("other failures and idempotent requests are answered with the target's status")
{
    struct row
    {
        const char* method;
        int status;
    };
    const auto sample = GENERATE(
        values<row>({{"POST", 500}, {"POST", 404}, {"POST", 504}, {"GET", 429}, {"GET", 503}}));
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target target(fixture.loop, {.answer = answer(sample.status, "X-Signature: a\r\n")});
    fixture.grant({target.address()});
    const std::string response = fixture.ask(instance_fixture::request(sample.method));
    CHECK(status_of(response) == sample.status);
    CHECK(field_of(response, "X-Signature") == "a");
}

// Guards against forwarding a success whose head was damaged on its way: the caller discards it,
// though another target could have answered the request.
TEST_CASE("a success without the target's signature is not forwarded")
{
    struct row
    {
        const char* method;
        int status;
        const char* reason;
    };
    const auto sample =
        GENERATE(values<row>({{"GET", 200, ""}, {"POST", 502, "unsigned_success"}}));
    instance_fixture fixture([](auto&) {}, dialect());
    scripted_target damaged(fixture.loop, {.answer = answer(200, "X-Sigmature: a\r\n")});
    scripted_target sound(fixture.loop, {.answer = answer(200, "X-Signature: b\r\n")});
    fixture.grant({damaged.address(), sound.address()});
    const std::string response = fixture.ask(instance_fixture::request(sample.method));
    CHECK(status_of(response) == sample.status);
    CHECK(field_of(response, "catkintally-reason") == sample.reason);
    CHECK(field_of(response, "X-Sigmature").empty());
    REQUIRE_FALSE(fixture.completed.empty());
    CHECK(fixture.completed[0].first.outcome == core::completion_outcome::connection_lost);
}

TEST_CASE("without a signature in the dialect every success is forwarded")
{
    core::target_dialect unsigned_dialect = dialect();
    unsigned_dialect.signature_header.clear();
    instance_fixture fixture([](auto&) {}, unsigned_dialect);
    scripted_target target(fixture.loop, {.answer = answer(200)});
    fixture.grant({target.address()});
    CHECK(status_of(fixture.ask(instance_fixture::request("POST"))) == 200);
}
