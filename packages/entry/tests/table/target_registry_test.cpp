#include <catkintally/entry/table/target_registry.hpp>

#include <catch2/catch.hpp>

#include <charconv>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// Objects whose value is "STARTED SEQUENCE STATE"; any other value cannot be used.
std::optional<core::target_registration> decode(const core::store_object& object)
{
    core::target_registration read;
    char state = 0;
    if (std::sscanf(object.value.c_str(), "%lu %lu %c", &read.started, &read.sequence, &state) != 3)
    {
        return std::nullopt;
    }
    read.target.name = object.key;
    read.target.state =
        state == 'd' ? core::target_admin_state::draining : core::target_admin_state::in;
    return read;
}

/// One step: the object's value at a time in milliseconds ("" for no object), and what the target
/// is afterwards: 'i' in use, 'd' draining, '-' not used.
struct step
{
    int at_ms;
    const char* value;
    char state;
};

struct history
{
    const char* name;
    std::vector<step> steps;
    /// Until when targets whose entries are missing stay in use; the store was not away if it has
    /// passed.
    int hold_until_ms = 0;
};

} // namespace

// Guards against late entries that bring back a target which is draining or removed, against
// entries of other writers that are used or that hide or end a known target, against targets that
// are dropped because their entries expired while the store was unreachable, and against targets
// that stay in use after they have been removed while it was reachable.
TEST_CASE("the newest registration of a target is in force")
{
    const std::vector<history> histories = {
        {"joins, leaves, goes", {{0, "1 1 r", 'i'}, {10, "1 2 d", 'd'}, {20, "", '-'}}},
        {"an older word after the farewell",
         {{0, "1 5 r", 'i'}, {10, "1 6 d", 'd'}, {20, "1 5 r", 'd'}}},
        {"an older word after the end",
         {{0, "1 6 d", 'd'}, {10, "", '-'}, {20, "1 5 r", '-'}, {30, "1 5 r", '-'}}},
        {"a new incarnation after the end", {{0, "1 6 d", 'd'}, {10, "", '-'}, {20, "2 1 r", 'i'}}},
        {"an earlier incarnation after a new one",
         {{0, "2 1 r", 'i'}, {10, "1 9 d", 'i'}, {20, "2 2 d", 'd'}}},
        {"an entry that cannot be used, then the target's own",
         {{0, "1 1 r", 'i'}, {10, "broken", 'i'}, {20, "1 2 d", 'd'}, {30, "broken", 'd'}}},
        {"an entry that cannot be used, then an older word",
         {{0, "1 5 d", 'd'}, {10, "broken", 'd'}, {20, "1 4 r", 'd'}, {30, "2 1 r", 'i'}}},
        {"only entries that cannot be used",
         {{0, "broken", '-'}, {10, "other", '-'}, {20, "1 1 r", 'i'}}},
        {"an entry that cannot be used and lapses",
         {{0, "1 1 r", 'i'}, {10, "broken", 'i'}, {20, "", 'i'}, {1519, "", 'i'}, {1520, "", '-'}},
         1520},
        {"a draining target whose entry cannot be used and lapses",
         {{0, "1 1 d", 'd'}, {10, "broken", 'd'}, {20, "", '-'}, {30, "broken", '-'}}},
        {"an entry that cannot be used while a removed one is kept",
         {{0, "1 1 r", 'i'},
          {10, "", 'i'},
          {20, "broken", 'i'},
          {1510, "broken", '-'},
          {1520, "1 2 r", 'i'}},
         1510},
        {"an entry that cannot be used after the end",
         {{0, "1 1 d", 'd'}, {10, "", '-'}, {20, "broken", '-'}, {30, "1 1 d", 'd'}}},
        {"a lapsed entry that comes back",
         {{0, "1 1 r", 'i'}, {10, "", 'i'}, {1000, "", 'i'}, {1400, "1 3 r", 'i'}},
         1510},
        {"a lapsed entry that stays away",
         {{0, "1 1 r", 'i'}, {10, "", 'i'}, {1509, "", 'i'}, {1510, "", '-'}},
         1510},
        {"a removed entry", {{0, "1 1 r", 'i'}, {10, "", '-'}, {20, "", '-'}}},
        {"a removed entry that comes back",
         {{0, "1 1 r", 'i'}, {10, "", '-'}, {20, "1 3 r", 'i'}, {30, "", '-'}}},
        {"an older word after a removed entry",
         {{0, "1 5 r", 'i'}, {10, "", '-'}, {20, "1 4 r", '-'}, {30, "1 6 r", 'i'}}},
        {"an older word while a removed entry is kept",
         {{0, "1 5 r", 'i'}, {10, "", 'i'}, {20, "1 4 r", 'i'}, {1600, "1 4 r", '-'}},
         1510},
        {"a lapsed entry after the store was away",
         {{0, "1 1 r", 'i'}, {5000, "", 'i'}, {7199, "", 'i'}, {7200, "", '-'}},
         7200}};
    for (const history& each : histories)
    {
        INFO(each.name);
        target_registry registry({.decode = decode});
        std::uint64_t version = 0;
        std::string last;
        for (const step& now : each.steps)
        {
            INFO(now.at_ms << " ms: " << now.value);
            std::map<std::string, core::store_object> objects;
            if (*now.value != '\0')
            {
                version += now.value == last ? 0 : 1;
                objects["t"] = {.key = "t", .version = version, .value = now.value};
            }
            last = now.value;
            registry.apply(
                objects, 0, core::time_point(std::chrono::milliseconds(now.at_ms)),
                core::time_point(std::chrono::milliseconds(each.hold_until_ms)));
            const auto targets = registry.targets();
            const char state = targets.empty() ? '-'
                               : targets.at("t")->target.state == core::target_admin_state::in
                                   ? 'i'
                                   : 'd';
            CHECK(state == now.state);
        }
    }
}

// Guards against an entry that is kept indefinitely because apply() is not called again.
TEST_CASE("the registry returns when a kept entry expires")
{
    target_registry registry({.decode = decode});
    const core::time_point start{};
    const std::map<std::string, core::store_object> listed = {
        {"t", {.key = "t", .version = 1, .value = "1 1 r"}}};
    CHECK_FALSE(registry.apply(listed, 0, start, start));
    CHECK(registry.apply({}, 0, start + 1s, start + 2500ms) == start + 2500ms);
    CHECK(registry.apply({}, 0, start + 2s, start) == start + 2500ms);
    CHECK_FALSE(registry.apply({}, 0, start + 2500ms, start));
}
