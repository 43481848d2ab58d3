#include "support/follower_fleet.hpp"
#include "support/platform_objects.hpp"

#include <catkintally/entry/table/missing_entry_hold.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

// Guards against targets that are used for more than two seconds after their removal because the
// readers of the store have failed, and against targets that are dropped because their entries
// expired during an outage of the store.
TEST_CASE("entries that disappear are held only if the store was away")
{
    struct row
    {
        const char* name;
        bool away;
        /// Times before now; none if it did not happen.
        std::optional<core::duration> returned;
        std::optional<core::duration> contact;
        core::duration held;
    };
    const std::vector<row> rows = {
        {"the store answers", false, {}, 300ms, 0ms},
        {"no word of a reader for long", false, {}, 9s, 0ms},
        {"the store is away", true, {}, 9s, 2200ms},
        {"the first answers after an outage", true, 1s, 9s, 2200ms},
        {"back, no later answer", false, 1s, 1s, 1200ms},
        {"back, removed after a later answer", false, 1s, 800ms, 1150ms},
        {"back long ago", false, 3s, 800ms, 0ms}};
    for (const row& each : rows)
    {
        INFO(each.name);
        const core::time_point now(100s);
        missing_entry_hold hold(
            {.is_store_away = [&] { return each.away; },
             .last_store_contact = [&]() -> std::optional<core::time_point>
             { return now - each.contact.value_or(0s); }});
        if (each.returned)
        {
            hold.note_store_returned(now - *each.returned);
        }
        CHECK(hold.hold_until(now) - now == each.held);
    }
}

// Guards against a reader whose own call has failed once and which then keeps removed targets in
// use, although the store was available.
TEST_CASE("a failed call of one instance holds entries only if the store was away")
{
    const bool away = GENERATE(false, true);
    missing_entry_hold hold({.is_store_away = [&] { return away; }, .last_store_contact = {}});
    const core::time_point now(100s);
    hold.note_answered_again(now);
    CHECK((hold.reregistered_by() > now) == away);
}

// Guards against requests to a removed target from an instance that learns of the removal late, and
// against an instance without targets after an outage of the store.
TEST_CASE("an instance drops removed targets at once and keeps those that expired in an outage")
{
    const bool outage = GENERATE(false, true);
    INFO((outage ? "outage" : "removal"));
    follower_fleet fleet;
    fleet.store.put("config/main", configuration_json(3, "/any/"));
    fleet.store.put("servers/a", target_json("ready", 1));
    auto& reader = fleet.add(true);
    auto& other = fleet.add(false);
    fleet.pass(400ms);
    REQUIRE(other.target_state("a") == 'i');
    // The other instance has heard nothing for some time.
    fleet.set_linked(other, false);
    for (auto* each : {&reader, &other})
    {
        each->missing_entries.is_store_away = [outage] { return outage; };
    }
    fleet.pass(1700ms);
    fleet.store.remove("servers/a");
    fleet.pass(5ms);
    fleet.set_linked(other, true);
    fleet.pass(5ms);
    const char expected = outage ? 'i' : '-';
    CHECK(reader.target_state("a") == expected);
    CHECK(other.target_state("a") == expected);
    fleet.pass(2180ms);
    CHECK(other.target_state("a") == expected);
    fleet.pass(30ms);
    CHECK(other.target_state("a") == '-');
}
