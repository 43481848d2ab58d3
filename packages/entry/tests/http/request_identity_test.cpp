#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace catkintally;
using namespace catkintally::entry;

namespace
{

using names = std::vector<std::string>;

/// An instance with one target that answers for all services.
struct identity_fixture : instance_fixture
{
    identity_fixture() { grant({target.address()}); }

    /// Puts a table in force in which the route /pay/ is split over these services.
    void split(const names& services)
    {
        auto table = std::make_shared<core::table_snapshot>();
        core::route_row route;
        route.name = "pay";
        route.path_prefix = "/pay/";
        route.idempotent = false;
        for (const std::string& name : services)
        {
            auto& row = table->services[name].service;
            row.name = name;
            row.path_prefix = "";
            row.max_body_bytes = 1'000;
            route.destinations.push_back({.service = name});
        }
        table->routes.push_back(route);
        self->apply_table(table);
    }

    /// Sends a request and returns its identity.
    std::uint64_t identity(
        const std::string& line = "POST /pay/1?x=1",
        const std::string& host = "a.example",
        const std::string& body = "body",
        const std::string& fields = "")
    {
        const std::string answer =
            ask(line + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        REQUIRE(status_of(answer) == 200);
        return asked.back().fingerprint;
    }

    scripted_target target{loop, {}};
};

} // namespace

// Guards against a request that crashes three targets of each service of a split, or three more
// once its route leads to another service, because it counts as another request there.
TEST_CASE("a request is the same one whichever service its route draws")
{
    struct row
    {
        const char* name;
        names before;
        names after;
    };
    const std::vector<row> rows = {
        {"one of three parts of a split", {"a", "b", "c"}, {"a", "b", "c"}},
        {"a route that is moved", {"a"}, {"d"}},
        {"a route that is split later", {"a"}, {"b", "c"}}};
    for (const row& each : rows)
    {
        INFO(each.name);
        identity_fixture fixture;
        std::set<std::uint64_t> identities;
        std::set<std::string> services;
        for (const names& version : {each.before, each.after})
        {
            fixture.split(version);
            for (int number = 0; number < 20; ++number)
            {
                identities.insert(fixture.identity());
                services.insert(fixture.asked.back().service);
            }
        }
        CHECK(identities.size() == 1);
        names all = each.before;
        all.insert(all.end(), each.after.begin(), each.after.end());
        CHECK(services == std::set<std::string>(all.begin(), all.end()));
    }
}

// Guards against requests that are refused because a similar one crashes targets.
TEST_CASE("requests of another host, method, target or body are other requests")
{
    identity_fixture fixture;
    fixture.split({"a"});
    const std::uint64_t known = fixture.identity();
    CHECK(fixture.identity("PUT /pay/1?x=1") != known);
    CHECK(fixture.identity("POST /pay/2?x=1") != known);
    CHECK(fixture.identity("POST /pay/1?x=2") != known);
    CHECK(fixture.identity("POST /pay/1?x=1", "b.example") != known);
    CHECK(fixture.identity("POST /pay/1?x=1", "a.example", "other") != known);
    CHECK(fixture.identity("POST /pay/1?x=1", "A.example:80") == known);
    CHECK(
        fixture.identity(
            "POST /pay/1?x=1", "a.example", "body", "catkintally-deadline-ms: 900\r\n") == known);
}
