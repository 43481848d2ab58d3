#include <catkintally/entry/targets/product_target_dialect.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::entry;

// Guards against statements of targets that are ignored behind the product's own conventions.
TEST_CASE("the product's own headers name a target's load and rate limit")
{
    const core::target_dialect dialect = product_target_dialect();
    core::stored_answer answer;
    answer.status = 503;
    answer.headers = {
        {"catkintally-load", "running=1 queued=2 phase=warm"}, {"Catkintally-Rate-Limit", "2.5"}};
    REQUIRE(dialect.load(answer.headers));
    CHECK(dialect.load(answer.headers)->queued == 2);
    const auto statement = dialect.limit(answer);
    REQUIRE(statement);
    CHECK(statement->kind == core::limit_statement_kind::named);
    CHECK(statement->per_second == 2.5);
}
