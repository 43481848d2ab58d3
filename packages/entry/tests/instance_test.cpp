#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::entry;

// Guards against a planned stop that aborts a request in flight or completes while one is still
// open.
TEST_CASE("a planned stop finishes all requests in flight")
{
    instance_fixture fixture;
    scripted_target target(fixture.loop, {.hold = true});
    fixture.grant({target.address()});
    raw_caller idle(fixture.loop, fixture.self->front().port());
    raw_caller sending(fixture.loop, fixture.self->front().port());
    raw_caller waiting(fixture.loop, fixture.self->front().port());
    waiting.send(instance_fixture::request("POST"));
    const std::string request = instance_fixture::request("POST");
    sending.send(request.substr(0, request.size() - 1));
    fixture.run_until([&] { return target.requests == 1; });
    fixture.run_until_idle();

    bool stopped = false;
    fixture.self->stop([&] { stopped = true; });
    CHECK_FALSE(fixture.self->is_healthy());
    fixture.run_until([&] { return idle.ended; });
    CHECK_FALSE(stopped);
    CHECK_FALSE(sending.ended);

    // The request that had arrived only in part is still accepted and served.
    sending.send(request.substr(request.size() - 1));
    fixture.run_until([&] { return target.requests == 2; });
    CHECK_FALSE(stopped);
    target.release();
    fixture.run_until([&] { return waiting.ended && sending.ended; });
    CHECK(body_of(waiting.received) == "ok");
    CHECK(body_of(sending.received) == "ok");
    CHECK(field_of(waiting.received, "Connection") == "close");
    fixture.run_until([&] { return stopped; });
}

// Guards against an admin endpoint that lacks the components' dump sections or metrics.
TEST_CASE("the admin endpoint serves dump, metrics and health")
{
    instance_fixture fixture;
    fixture.self->admin().add_section("extra", [] { return boost::json::value{{"n", 1}}; });
    fixture.ask(instance_fixture::request("GET", "catkintally-deadline-ms: 0\r\n"));
    const auto get = [&](const std::string& path)
    {
        raw_caller caller(fixture.loop, fixture.self->admin().port());
        caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        std::optional<std::string> response;
        fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
        return *response;
    };
    const auto dump = boost::json::parse(body_of(get("/dump")));
    CHECK(dump.at("extra").at("n") == 1);
    CHECK(dump.at("instance").at("table_revision") == 7);
    CHECK(
        body_of(get("/metrics"))
            .find("catkintally_requests_total{service=\"desk\",result=\"deadline_expired\"} 1") !=
        std::string::npos);
    CHECK(status_of(get("/healthz")) == 200);
    fixture.joined = false;
    CHECK(status_of(get("/healthz")) == 503);
    CHECK(status_of(get("/else")) == 404);
}
