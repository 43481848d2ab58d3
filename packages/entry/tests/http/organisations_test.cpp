#include "support/instance_fixture.hpp"

#include <catkintally/platform/platform_target_dialect.hpp>
#include <catkintally/runtime/crypto/sha256.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::entry;

namespace
{

core::target_dialect dialect()
{
    const core::target_dialect platform = platform::platform_target_dialect();
    core::target_dialect out;
    out.api_key_header = platform.api_key_header;
    out.api_key_scheme = platform.api_key_scheme;
    out.organisation_header = platform.organisation_header;
    return out;
}

using keys = std::vector<std::string>;

/// An instance with one target, and tables in which the service "desk" has a route that needs a key
/// and a public one.
struct organisations_fixture : instance_fixture
{
    organisations_fixture()
        : instance_fixture([](auto&) {}, dialect())
    {
        set_keys(keys{"key-1"});
        grant({target.address()});
    }

    /// Puts a table in force in which the organisation "one" has these keys; nothing: no
    /// organisations.
    void set_keys(
        const std::optional<keys>& valid,
        bool pay_is_public = false,
        const std::string& name = "one",
        const std::string& service = "desk")
    {
        auto table = std::make_shared<core::table_snapshot>();
        for (const std::string each : {"desk", "other"})
        {
            auto& row = table->services[each].service;
            row.name = each;
            row.path_prefix = "";
            row.max_body_bytes = 1'000;
        }
        const auto add_route = [&](const char* path, bool is_public)
        {
            core::route_row route;
            route.name = path;
            route.path_prefix = path;
            route.destinations = {{.service = service}};
            route.idempotent = false;
            route.priority = 4;
            route.is_public = is_public;
            table->routes.push_back(route);
        };
        add_route("/pay", pay_is_public);
        add_route("/news", true);
        if (valid)
        {
            core::organisation_row row{.name = name, .key_digests = {}, .priority = 2};
            for (const std::string& key : *valid)
            {
                row.key_digests.push_back(runtime::sha256(key));
            }
            table->organisations = {row};
        }
        self->apply_table(table);
    }

    static std::string get(const std::string& path, const std::string& fields = "")
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n";
    }

    static std::string with_key(const std::string& key)
    {
        return get("/pay", "Authorization: Token " + key + "\r\n");
    }

    std::string metrics() { return self->metrics().exposition(); }

    scripted_target target{loop, {}};
};

} // namespace

// Guards against requests that a target executes without the name of the caller's organisation
// (UNASKED), and against keys that reach a target.
TEST_CASE("a request with a key carries its organisation to the target")
{
    organisations_fixture fixture;
    const auto response = fixture.ask(
        fixture.get("/pay", "Authorization: Token key-1\r\nX-Catkintally-Tenant: two\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(field_of(fixture.target.last_request, "X-Catkintally-Tenant") == "one");
    CHECK(fixture.target.last_request.find("two") == std::string::npos);
    CHECK(fixture.target.last_request.find("key-1") == std::string::npos);
    CHECK(fixture.asked.at(0).organisation == "one");
    CHECK(fixture.asked.at(0).priority == 2);
    CHECK(
        fixture.metrics().find(
            R"(catkintally_organisation_requests_total{organisation="one"} 1)") !=
        std::string::npos);
}

// Guards against public routes that need a key or pass a name on that nobody has checked.
TEST_CASE("a public route needs no key and names no organisation")
{
    organisations_fixture fixture;
    const auto response = fixture.ask(
        fixture.get("/news", "Authorization: Token key-1\r\nX-Catkintally-Tenant: two\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(field_of(fixture.target.last_request, "X-Catkintally-Tenant").empty());
    CHECK(field_of(fixture.target.last_request, "Authorization").empty());
    CHECK(fixture.asked.at(0).organisation.empty());
    CHECK(fixture.asked.at(0).priority == 4);
}

// Guards against changes for deployments without organisations.
TEST_CASE("without organisations the key is ignored and passed through")
{
    organisations_fixture fixture;
    fixture.set_keys(std::nullopt);
    const auto response = fixture.ask(
        fixture.get("/pay", "Authorization: Token other\r\nX-Catkintally-Tenant: two\r\n"));
    CHECK(status_of(response) == 200);
    CHECK(field_of(fixture.target.last_request, "Authorization") == "Token other");
    CHECK(field_of(fixture.target.last_request, "X-Catkintally-Tenant") == "two");
}

// Guards against the wrong order of the checks: a caller must not learn from a 401 that an instance
// has no configuration, and a path without a route is not a matter of keys.
TEST_CASE("a request without access is refused after those without table or route")
{
    organisations_fixture fixture;
    const auto response = fixture.ask(fixture.get("/pay"));
    CHECK(status_of(response) == 401);
    CHECK(field_of(response, "WWW-Authenticate") == "Token");
    CHECK(field_of(response, "catkintally-outcome") == "not-run");
    CHECK(field_of(response, "catkintally-reason") == "key_missing");
    CHECK(status_of(fixture.ask(fixture.get("/nowhere"))) == 404);
    CHECK(fixture.asked.empty());
    CHECK(fixture.target.accepted == 0);
    CHECK(
        fixture.metrics().find(R"(catkintally_keys_refused_total{reason="key_missing"} 1)") !=
        std::string::npos);

    instance bare(
        fixture.loop, fixture.timers, fixture.values, {.gateway = {}, .dialect = dialect()});
    REQUIRE(bare.listen());
    raw_caller caller(fixture.loop, bare.front().port());
    caller.send(fixture.get("/pay"));
    std::optional<std::string> answer;
    fixture.run_until([&] { return (answer = caller.take_response()).has_value(); });
    CHECK(status_of(*answer) == 503);
}

// Guards against a refusal that takes the requests behind it along, and against one that is
// executed because its connection had a valid key before.
TEST_CASE("a refused key leaves the connection usable for further requests")
{
    organisations_fixture fixture;
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(
        fixture.with_key("key-1") + fixture.with_key("key-2") + fixture.with_key("key-1") +
        fixture.get("/pay") + fixture.get("/news"));
    std::vector<int> statuses;
    fixture.run_until(
        [&]
        {
            while (const auto response = caller.take_response())
            {
                statuses.push_back(status_of(*response));
            }
            return statuses.size() == 5 || caller.ended;
        });
    CHECK(statuses == std::vector<int>{200, 401, 200, 401, 200});
    CHECK_FALSE(caller.ended);
    CHECK(fixture.target.requests == 3);
}

// Guards against requests that run although the configuration in force, at the time of the first
// byte, does not permit them (CONFIG): those that wait for admission, for a connection, or behind
// others on the caller's connection.
TEST_CASE("requests that have not been sent are checked against the newest table")
{
    struct row
    {
        const char* name;
        std::function<void(organisations_fixture&)> change;
        int status;
        const char* reason;
    };
    const auto& sample = GENERATE(values<row>(
        {{"withdrawn", [](auto& f) { f.set_keys(keys{"key-2"}); }, 401, "key_withdrawn"},
         {"withdrawn, another organisation's now",
          [](auto& f) { f.set_keys(keys{"key-1"}, false, "two"); }, 503, "organisation_changed"},
         {"public now", [](auto& f) { f.set_keys(keys{"key-2"}, true); }, 503,
          "organisation_changed"},
         {"no organisations any more", [](auto& f) { f.set_keys(std::nullopt); }, 503,
          "organisation_changed"},
         {"to another service now",
          [](auto& f) { f.set_keys(keys{"key-1"}, false, "one", "other"); }, 503, "route_changed"},
         {"added",
          [](auto& f) {
              f.set_keys(keys{"key-1", "key-2"});
          },
          200, ""},
         {"replaced and restored",
          [](auto& f)
          {
              f.answers.clear();
              f.set_keys(keys{"key-1", "key-3"});
              f.set_keys(keys{"key-1"});
              f.grant({f.target.address()});
          },
          200, ""}}));
    const bool while_connecting = GENERATE(false, true);
    INFO(sample.name << (while_connecting ? ", while connecting" : ", while waiting"));
    organisations_fixture fixture;
    if (!while_connecting)
    {
        fixture.answers.clear();
    }
    core::request_id waiting = 0;
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(fixture.with_key("key-1"));
    // A grant is answered inline, and the connection takes a further pass of the loop.
    fixture.run_until([&] { return !fixture.asked.empty(); });
    waiting = fixture.asked.at(0).id;
    CHECK(fixture.target.requests == 0);
    sample.change(fixture);
    std::optional<std::string> response;
    if (!while_connecting && sample.status == 200)
    {
        CHECK(fixture.cancelled.empty());
        return;
    }
    fixture.run_until([&] { return (response = caller.take_response()).has_value(); });
    CHECK(status_of(*response) == sample.status);
    CHECK(field_of(*response, "catkintally-reason") == sample.reason);
    fixture.run_until_idle();
    CHECK(fixture.target.requests == (sample.status == 200 ? 1 : 0));
    if (sample.status == 200)
    {
        return;
    }
    // The place in the queue, or the grant, is returned.
    CHECK(field_of(*response, "catkintally-outcome") == "not-run");
    CHECK(fixture.cancelled.size() == (while_connecting ? 0 : 1));
    REQUIRE(fixture.completed.size() == (while_connecting ? 1 : 0));
    if (while_connecting)
    {
        CHECK(fixture.completed[0].first.id == waiting);
        CHECK(fixture.completed[0].first.outcome == core::completion_outcome::not_run);
        // A withdrawn key must not eject the target.
        CHECK(fixture.completed[0].first.untried);
        CHECK(fixture.unchecked_requests.contains(waiting));
    }
}

// Guards against a request that loses the result of its execution because its key was withdrawn
// meanwhile.
TEST_CASE("a request that has been sent is answered after its key was withdrawn")
{
    organisations_fixture fixture;
    fixture.target.script.hold = true;
    raw_caller caller(fixture.loop, fixture.self->front().port());
    caller.send(fixture.with_key("key-1") + fixture.with_key("key-1"));
    fixture.run_until([&] { return fixture.target.requests == 2; });
    fixture.set_keys(keys{"key-2"});
    caller.send(fixture.with_key("key-1") + fixture.with_key("key-2"));
    fixture.run_until([&] { return fixture.target.requests == 3; });
    fixture.target.release();
    std::vector<int> statuses;
    fixture.run_until(
        [&]
        {
            while (const auto response = caller.take_response())
            {
                statuses.push_back(status_of(*response));
            }
            return statuses.size() == 4 || caller.ended;
        });
    CHECK(statuses == std::vector<int>{200, 200, 401, 200});
    CHECK(fixture.target.requests == 3);
}
