#include "support/instance_fixture.hpp"

#include <catkintally/entry/http/answer_check.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::entry;
namespace core = catkintally::core;

namespace
{

/// Targets mark what they did not execute.
core::target_dialect dialect()
{
    core::target_dialect out;
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
