#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::entry;

namespace
{

struct row
{
    const char* name;
    const char* method;
    /// Prefix of the only route; empty: there is none.
    std::string route;
    bool separate_health_address;
    /// The expected status, and whether the target runs the request.
    int status;
    bool runs;
};

/// An instance with one target and one route at most.
struct health_path_fixture : instance_fixture
{
    explicit health_path_fixture(const row& each)
        : instance_fixture(
              [&](runtime::settings& values)
              {
                  if (each.separate_health_address)
                  {
                      values.admin.health_addresses = {"127.0.0.1:0"};
                  }
              })
    {
        auto table = std::make_shared<core::table_snapshot>();
        auto& row = table->services["desk"].service;
        row.name = "desk";
        row.path_prefix = "";
        row.max_body_bytes = 1'000;
        if (!each.route.empty())
        {
            core::route_row route;
            route.name = "route";
            route.path_prefix = each.route;
            route.destinations = {{.service = "desk"}};
            route.idempotent = false;
            table->routes.push_back(route);
        }
        self->apply_table(table);
        grant({target.address()});
    }

    scripted_target target{loop, {}};
};

} // namespace

// Guards against an instance that answers a request to its own health path in the target's place:
// the caller takes an order for placed that no target has seen.
TEST_CASE("only a request without a route can be a health check on the callers' address")
{
    const std::vector<row> rows = {
        {"an order on a route", "POST", "/catkintally/", true, 200, true},
        {"a lookup on a route", "GET", "/catkintally/", true, 200, true},
        {"a route of all paths", "POST", "/", true, 200, true},
        {"no route", "GET", "/hailnets/", true, 404, false},
        {"no route at all", "GET", "", true, 404, false},
        {"an order on a route, no other health address", "POST", "/catkintally/", false, 200, true},
        {"a lookup on a route, no other health address", "GET", "/catkintally/", false, 200, true},
        {"a health check", "GET", "/hailnets/", false, 200, false},
        {"a health check without a body", "HEAD", "/hailnets/", false, 200, false},
        {"an order without a route", "POST", "/hailnets/", false, 404, false}};
    for (const row& each : rows)
    {
        INFO(each.name);
        health_path_fixture fixture(each);
        const std::string method = each.method;
        raw_caller caller(fixture.loop, fixture.self->front().port());
        caller.send(
            method + " /catkintally/health HTTP/1.1\r\nHost: a.example\r\n" +
            (method == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n"));
        std::optional<std::string> response;
        fixture.run_until(
            [&] { return (response = caller.take_response(method == "HEAD")).has_value(); });
        CHECK(status_of(*response) == each.status);
        CHECK(fixture.target.requests == (each.runs ? 1 : 0));
    }
}
