#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/http/organisation_check.hpp>
#include <catkintally/entry/process/organisation_dump.hpp>
#include <catkintally/platform/platform_target_dialect.hpp>
#include <catkintally/runtime/crypto/sha256.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::entry;

namespace
{

std::vector<core::organisation_row> rows()
{
    return {
        {.name = "one",
         .key_digests = {runtime::sha256("key-1"), runtime::sha256("key-2")},
         .priority = 1,
         .requests_per_s = 5,
         .burst = 2},
        {.name = "two", .key_digests = {runtime::sha256("key-3")}, .priority = std::nullopt}};
}

/// Name of the organisation, or of the error.
std::string access_of(
    const core::organisation_directory& directory,
    const header_list& fields,
    bool is_public = false)
{
    core::route_row route;
    route.is_public = is_public;
    const auto access = check_access(directory, platform::platform_target_dialect(), route, fields);
    return access.error          ? std::string(key_error_name(*access.error))
           : access.organisation ? access.organisation->name
                                 : "none needed";
}

} // namespace

// Guards against callers without a valid key, and against callers that are turned away although
// they have one.
TEST_CASE("a request has access with one well-formed key of an organisation")
{
    struct row
    {
        header_list fields;
        const char* result;
    };
    const auto& sample = GENERATE(values<row>(
        {{{{"Authorization", "Token key-1"}}, "one"},
         {{{"authorization", "Token key-2"}}, "one"},
         {{{"Host", "a"}, {"Authorization", "token  key-3"}}, "two"},
         {{}, "key_missing"},
         {{{"X-Authorization", "Token key-1"}}, "key_missing"},
         {{{"Proxy-Authorization", "Token key-1"}}, "key_missing"},
         {{{"Authorization", ""}}, "key_malformed"},
         {{{"Authorization", "Token"}}, "key_malformed"},
         {{{"Authorization", "key-1"}}, "key_malformed"},
         {{{"Authorization", "Bearer key-1"}}, "key_malformed"},
         {{{"Authorization", "Tokenkey-1"}}, "key_malformed"},
         {{{"Authorization", "Token key-1"}, {"Authorization", "Token key-1"}}, "key_repeated"},
         {{{"Authorization", "Token key-1"}, {"AUTHORIZATION", ""}}, "key_repeated"},
         {{{"Authorization", "Token " + std::string(513, 'k')}}, "key_too_long"},
         {{{"Authorization", "Token " + std::string(512, 'k')}}, "key_unknown"},
         {{{"Authorization", "Token KEY-1"}}, "key_unknown"},
         {{{"Authorization", "Token key-1, Token key-2"}}, "key_unknown"},
         {{{"Authorization", "Token key-1 key-1"}}, "key_unknown"},
         {{{"Authorization", "Token " + runtime::sha256("key-1")}}, "key_unknown"}}));
    core::organisation_directory directory;
    directory.apply(rows());
    CHECK(access_of(directory, sample.fields) == sample.result);
    CHECK(access_of(directory, sample.fields, true) == "none needed");
    directory.apply(std::nullopt);
    CHECK(access_of(directory, sample.fields) == "none needed");
}

// Guards against a caller that names its organisation itself, and against keys that reach a target.
// Without organisations both fields are the caller's own business.
TEST_CASE("key and organisation are forwarded as the table says")
{
    const header_list received = {
        {"Accept", "x"},
        {"Authorization", "Token key-1"},
        {"authorization", "Basic y"},
        {"X-Tenant", "two"},
        {"x-tenant", "three"},
        {"X_Tenant", "four"},
        {"X-Tenant-Other", "kept"}};
    forward_options options;
    options.deadline_header = "d";
    const auto values = [&](const char* name)
    {
        std::vector<std::string> found;
        for (const auto& [field, value] : forwarded_request_fields(received, options))
        {
            if (equals_ignore_case(field, name))
            {
                found.push_back(value);
            }
        }
        return found;
    };
    using texts = std::vector<std::string>;
    CHECK(values("Authorization") == texts{"Token key-1", "Basic y"});
    CHECK(values("X-Tenant") == texts{"two", "three"});
    CHECK(values("X_Tenant") == texts{"four"});

    options.api_key_header = "Authorization";
    options.organisation_header = "X-Tenant";
    options.organisation = "one";
    CHECK(values("Authorization").empty());
    CHECK(values("X-Tenant") == texts{"one"});
    CHECK(values("X_Tenant").empty());
    CHECK(values("X-Tenant-Other") == texts{"kept"});
    CHECK(values("Accept") == texts{"x"});

    // A public route.
    options.organisation = "";
    CHECK(values("Authorization").empty());
    CHECK(values("X-Tenant").empty());
}

// Guards against keys or digests in the dump.
TEST_CASE("the dump shows organisations without their keys")
{
    core::organisation_directory directory;
    CHECK(to_json(directory).is_null());
    directory.apply(rows());
    CHECK(
        boost::json::serialize(to_json(directory)) ==
        R"([{"name":"one","keys":2,"priority":1,"requests_per_s":5E0,"burst":2E0},)"
        R"({"name":"two","keys":1}])");
}
