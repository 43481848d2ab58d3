#include <catkintally/core/limits/target_limit_registry.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

target_row row(std::uint64_t incarnation = 1)
{
    target_row target;
    target.name = "t1";
    target.incarnation = incarnation;
    return target;
}

observed_statement named(double per_second, time_point sent_at, bool executed = true)
{
    return {
        .statement = {.kind = limit_statement_kind::named, .per_second = per_second},
        .sent_at = sent_at,
        .executed = executed};
}

observed_statement absent(time_point sent_at, bool executed = true)
{
    return {.statement = {}, .sent_at = sent_at, .executed = executed};
}

target_limit news(std::uint64_t version, std::optional<double> per_second)
{
    target_limit limit{
        .service = "desk", .target = "t1", .incarnation = 1, .version = version, .source = "i2"};
    limit.per_second = per_second;
    return limit;
}

/// -1 if no limit is known, infinity if it was withdrawn.
double limit_of(const target_limit_registry& registry)
{
    const known_limit* known = registry.find("desk", row());
    return known == nullptr ? -1 : known->limit.per_second.value_or(INFINITY);
}

} // namespace

// Guards against an older limit that replaces a newer one, and against a limit that is dropped
// because of a response that cannot tell.
TEST_CASE("the newest statement about a limit is believed, whatever the order of arrival")
{
    struct step
    {
        std::function<bool(target_limit_registry&)> apply;
        bool changes;
        double limit;
    };
    struct sequence
    {
        const char* name;
        std::vector<step> steps;
    };
    const auto see = [](const observed_statement& statement, duration at)
    {
        return [statement, at](target_limit_registry& registry)
        { return registry.observe("desk", row(), statement, start + at); };
    };
    const auto hear = [](const target_limit& limit, duration at)
    {
        return [limit, at](target_limit_registry& registry)
        { return registry.merge(limit, start + at); };
    };
    const std::vector<sequence> sequences = {
        {"raised, lowered, withdrawn, named again",
         {{see(named(1, start), 1s), true, 1},
          {see(named(3, start + 2s), 3s), true, 3},
          {see(named(2, start + 4s), 5s), true, 2},
          {see(absent(start + 6s), 7s), false, 2},
          {see(absent(start + 6s), 7s), true, INFINITY},
          {see(named(2, start + 8s), 9s), true, 2}}},
        {"left out now and then",
         {{see(named(1, start), 1s), true, 1},
          {see(absent(start + 2s), 3s), false, 1},
          {see(named(1, start + 3s), 4s), false, 1},
          {see(absent(start + 5s), 6s), false, 1}}},
        {"a response without a limit before the first one", {{see(absent(start), 1s), false, -1}}},
        {"a late response without a limit",
         {{see(named(1, start), 1s), true, 1}, {see(absent(start + 500ms), 2s), false, 1}}},
        {"a late response with a higher limit",
         {{see(named(1, start), 1s), true, 1}, {see(named(3, start + 500ms), 2s), false, 1}}},
        {"a late response with a lower limit",
         {{see(named(3, start), 1s), true, 3}, {see(named(1, start + 500ms), 2s), true, 1}}},
        {"a refusal or health check without a limit",
         {{see(named(1, start), 1s), true, 1}, {see(absent(start + 2s, false), 3s), false, 1}}},
        {"a refusal with a limit", {{see(named(1, start, false), 1s), true, 1}}},
        {"late news of an earlier limit",
         {{see(named(3, start), 1s), true, 3},
          {see(named(1, start + 2s), 3s), true, 1},
          {hear(news(1, 5), 4s), false, 1},
          {hear(news(1, std::nullopt), 5s), false, 1}}},
        {"newer news",
         {{hear(news(4, 2), 1s), true, 2},
          {hear(news(5, std::nullopt), 2s), true, INFINITY},
          {hear(news(4, 2), 3s), false, INFINITY}}},
        {"two instances read different limits at the same time",
         {{hear(news(4, 2), 1s), true, 2},
          {hear(news(4, 1), 2s), true, 1},
          {hear(news(4, 2), 3s), false, 1},
          {hear(news(4, std::nullopt), 4s), false, 1}}},
        {"news of a limit, then a response to an earlier request",
         {{hear(news(1, 2), 2s), true, 2}, {see(absent(start), 3s), false, 2}}}};
    for (const sequence& each : sequences)
    {
        target_limit_registry registry("i1");
        for (std::size_t index = 0; index < each.steps.size(); ++index)
        {
            INFO(each.name << ", step " << index);
            CHECK(each.steps[index].apply(registry) == each.steps[index].changes);
            CHECK(limit_of(registry) == each.steps[index].limit);
        }
    }
}

// Guards against an incarnation that is held to the limit of another one, and against limits of
// removed targets that are kept for good.
TEST_CASE("a limit belongs to one incarnation and goes with it")
{
    target_limit_registry registry("i1");
    REQUIRE(registry.observe("desk", row(), named(1, start), start));
    CHECK(registry.find("desk", row(2)) == nullptr);

    table_snapshot table;
    table.services["desk"].targets = {row()};
    registry.retain(table, start + 1h);
    CHECK(registry.size() == 1);
    table.services["desk"].targets = {row(2)};
    registry.retain(table, start + 1h);
    CHECK(registry.size() == 0);
}

// Guards against a limit that is lost because its news arrive before the target's row.
TEST_CASE("a limit that arrives before the target's row is kept for a while")
{
    target_limit_registry registry("i1");
    REQUIRE(registry.merge(news(1, 2), start));
    registry.retain({}, start + 10s);
    CHECK(limit_of(registry) == 2);
    registry.retain({}, start + 31s);
    CHECK(registry.size() == 0);
}

// Guards against memory that grows with news of targets that do not exist.
TEST_CASE("the number of limits is bounded")
{
    target_limit_registry registry("i1");
    for (std::size_t number = 0; number < target_limit_registry::max_limits + 10; ++number)
    {
        target_limit limit = news(1, 2);
        limit.target = std::to_string(number);
        registry.merge(limit, start);
    }
    CHECK(registry.size() == target_limit_registry::max_limits);
}
