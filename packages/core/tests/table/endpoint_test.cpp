#include <catkintally/core/table/endpoint.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

// Guards against invalid addresses that are accepted and fail only on the first connection attempt.
TEST_CASE("only IP addresses with a port are accepted")
{
    struct test_case
    {
        const char* text;
        std::optional<endpoint> expected;
    };
    const std::vector<test_case> cases = {
        {"127.0.0.1:80", endpoint{"127.0.0.1", 80}},
        {"[::1]:8080", endpoint{"::1", 8080}},
        {"127.0.0.1", std::nullopt},
        {"127.0.0.1:", std::nullopt},
        {"127.0.0.1:0", std::nullopt},
        {"127.0.0.1:65536", std::nullopt},
        {"127.0.0.1:80x", std::nullopt},
        {"127.0.0.256:80", std::nullopt},
        {"::1:80", std::nullopt},
        {"localhost:80", std::nullopt},
        {"", std::nullopt}};
    for (const auto& each : cases)
    {
        INFO(each.text);
        const auto parsed = parse_endpoint(each.text);
        CHECK(parsed == each.expected);
        CHECK((!parsed || to_string(*parsed) == each.text));
    }
    using namespace std::string_view_literals;
    CHECK_FALSE(parse_endpoint("127.0.0.1\0x:80"sv));
    CHECK_FALSE(parse_endpoint("127.0.0.1:8\0"sv));
}
