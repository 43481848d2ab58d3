#include "platform_support/store_fixture.hpp"

#include <catkintally/entry/table/table_watcher.hpp>

using namespace catkintally;
using namespace catkintally::entry;
using namespace catkintally::platform;

// Guards against a watcher that stays at an old revision, or reverts to one, once the store has
// recovered from an outage, slow answers, an exhausted rate limit or a gap in its history.
TEST_CASE("the watcher reaches the newest revision after each fault of the store")
{
    const std::vector<std::pair<const char*, boost::json::object>> faults = {
        {"outage", {{"outage", true}}},
        {"slow", {{"slow_ms", 60}}},
        {"rate", {{"reads_per_s", 0}}}};
    store_fixture fixture;
    std::vector<std::uint64_t> published;
    table_watcher watcher(
        {.store = &fixture.store, .timers = &fixture.timers, .publish = [&](const auto& table) {
             published.push_back(table->revision);
         }});
    watcher.start();
    std::uint64_t version = 0;
    const auto write = [&]
    {
        core::stored_service stored;
        stored.config.service.name = std::string(1, 'a');
        version =
            *fixture.stand_in.store().put(core::service_key("a"), encode(stored), std::nullopt);
        fixture.stand_in.notify_watches();
    };
    const auto in_force = [&]
    {
        return runtime::run_until(
            fixture.loop, fixture.timers, [&] { return watcher.revision() == version; });
    };
    write();
    REQUIRE(in_force());
    for (const auto& [name, switches] : faults)
    {
        INFO(name);
        fixture.stand_in.control(switches);
        write();
        runtime::run_until(
            fixture.loop, fixture.timers, [] { return false; }, std::chrono::milliseconds(200));
        write();
        fixture.stand_in.control({{"outage", false}, {"slow_ms", 0}, {"reads_per_s", 2000}});
        CHECK(in_force());
    }
    // More changes than the stand-in's history holds.
    fixture.stand_in.control({{"outage", true}});
    for (int i = 0; i < 10'001; ++i)
    {
        write();
    }
    fixture.stand_in.control({{"outage", false}});
    CHECK(in_force());
    CHECK(std::is_sorted(published.begin(), published.end()));
    CHECK(std::adjacent_find(published.begin(), published.end()) == published.end());
}
