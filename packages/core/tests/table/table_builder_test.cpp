#include "sample_table.hpp"

#include <catkintally/core/table/table_builder.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

// Guards against stale cache entries: the cached form of an object must not be used once the object
// has been changed, removed or corrected.
TEST_CASE("a builder with cached objects builds the same table as a new builder")
{
    table_builder caching;
    auto objects = stored_objects(sample_table(), 1);
    const auto stock = service_key("stock");
    const auto changed = [](const std::function<void(service_config&)>& change)
    {
        auto config = sample_table().services.at("stock");
        change(config);
        return encode(stored_service{.config = config, .change_id = "", .unknown_columns = {}});
    };
    const std::string removed = R"({"change_id":"","removed":true})";
    const std::vector<std::pair<std::string, std::string>> steps = {
        {stock, changed([](auto& config) { config.service.ahead = 3; })},
        {stock, changed([](auto& config) { config.targets[0].slots = 0; })},
        {stock, changed([](auto& config) { config.targets[0].failure_domain = "c"; })},
        {domains_key, R"({"domains":[{"name":"a"},{"name":"b"},{"name":"c"}]})"},
        {stock, removed},
        {"table/other", "{}"}};
    std::uint64_t version = 1;
    std::size_t valid_builds = 0;
    for (const auto& [key, value] : steps)
    {
        objects[key] = {.key = key, .version = ++version, .value = value};
        const auto incremental = caching.build(version, objects);
        const auto fresh = table_builder().build(version, objects);
        CHECK(incremental.errors == fresh.errors);
        REQUIRE((incremental.table == nullptr) == (fresh.table == nullptr));
        CHECK(newest_version(objects) == version);
        if (fresh.table != nullptr)
        {
            ++valid_builds;
            CHECK(incremental.table->services == fresh.table->services);
            CHECK(incremental.table->domains == fresh.table->domains);
            CHECK(incremental.table->revision == version);
        }
    }
    CHECK(valid_builds == 3);
}

// Guards against a service that stays in the table although its object is a tombstone.
TEST_CASE("a removed service is not part of the table")
{
    auto objects = stored_objects(sample_table(), 1);
    const auto stock = service_key("stock");
    objects[stock].value = R"({"change_id":"","removed":true})";
    const auto built = table_builder().build(1, objects);
    REQUIRE(built.table != nullptr);
    CHECK(built.table->services.size() == 1);
    CHECK(built.table->services.contains("orders"));
}
