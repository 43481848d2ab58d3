#include <catkintally/core/targets/parse_limit_statement.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

// Guards against a limit that is read wrongly, and against malformed or absurd figures that change
// what a target gets.
TEST_CASE("a rate limit is a decimal number in one header")
{
    struct row
    {
        const char* name;
        header_list fields;
        limit_statement_kind kind;
        double per_second = 0;
    };
    using kind = limit_statement_kind;
    const auto sample = GENERATE(values<row>(
        {{"no header", {{"Other", "1"}}, kind::absent},
         {"whole number", {{"X-Limit", "12"}}, kind::named, 12},
         {"fraction", {{"x-limit", "0.5"}}, kind::named, 0.5},
         {"zero", {{"X-Limit", "0"}}, kind::named, 0},
         {"same value twice", {{"X-Limit", "2"}, {"X-Limit", "2"}}, kind::named, 2},
         {"two values", {{"X-Limit", "2"}, {"X-Limit", "3"}}, kind::malformed},
         {"empty", {{"X-Limit", ""}}, kind::malformed},
         {"text", {{"X-Limit", "many"}}, kind::malformed},
         {"unit", {{"X-Limit", "3/s"}}, kind::malformed},
         {"negative", {{"X-Limit", "-1"}}, kind::malformed},
         {"signed", {{"X-Limit", "+1"}}, kind::malformed},
         {"exponent", {{"X-Limit", "1e3"}}, kind::malformed},
         {"list", {{"X-Limit", "1,2"}}, kind::malformed},
         {"two points", {{"X-Limit", "1.2.3"}}, kind::malformed},
         {"infinity", {{"X-Limit", "inf"}}, kind::malformed},
         {"not a number", {{"X-Limit", "nan"}}, kind::malformed},
         {"hexadecimal", {{"X-Limit", "0x10"}}, kind::malformed},
         {"absurd", {{"X-Limit", "99999999999999999999"}}, kind::malformed},
         {"overflow", {{"X-Limit", std::string(400, '9')}}, kind::malformed}}));
    INFO(sample.name);
    const limit_statement statement = parse_limit_statement(sample.fields, "X-Limit");
    CHECK(statement.kind == sample.kind);
    CHECK(statement.per_second == sample.per_second);
    CHECK(statement.text.size() <= 64);
}
