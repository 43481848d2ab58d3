#include <catkintally/core/fleet/fixed_share.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace catkintally::core;

namespace
{

constexpr std::uint32_t target_count = 4;
constexpr std::uint32_t slots = 3;

table_snapshot make_table()
{
    service_config config;
    config.service.name = "catalog";
    for (std::uint32_t number = 0; number < target_count; ++number)
    {
        target_row row;
        row.name = "t" + std::to_string(number);
        row.slots = slots;
        config.targets.push_back(row);
    }
    table_snapshot table;
    table.services["catalog"] = config;
    return table;
}

/// Requests by target when every member takes all that its share allows.
std::map<std::string, std::uint32_t> take_all(std::size_t members, bool warm)
{
    const table_snapshot table = make_table();
    view current;
    for (std::size_t number = 0; number < members; ++number)
    {
        member entry;
        entry.id = {.instance = "i" + std::to_string(number), .incarnation = 1};
        current.members.push_back(entry);
    }
    std::map<std::string, std::uint32_t> taken;
    for (const member& entry : current.members)
    {
        std::map<std::string, std::uint32_t> own;
        fixed_share_input input;
        input.current = &current;
        input.self = entry.id;
        input.table = &table;
        input.service = &table.services.at("catalog");
        input.assumed_warm = [warm](const std::string&) { return warm; };
        input.in_use = [&own](const std::string& target) { return own[target]; };
        input.cold_allowed = true;
        for (std::uint32_t used = 0; used <= target_count * slots; ++used)
        {
            if (const target_row* target = choose_fixed_share(input))
            {
                ++own[target->name];
                ++taken[target->name];
            }
        }
    }
    return taken;
}

} // namespace

// Guards against members that use the same slot, slots that nobody may use, and a cold target that
// gets one request from each of several instances.
TEST_CASE("the shares of all members add up to the slots, or to one request while cold")
{
    const std::size_t members = GENERATE(1, 3, 5, 13, 40);
    const bool warm = GENERATE(true, false);
    const auto taken = take_all(members, warm);
    REQUIRE(taken.size() == target_count);
    for (const auto& [target, count] : taken)
    {
        // A share that has no slot 0 of its own may not use a cold target; one that has may use
        // each of these targets once.
        CHECK(count == (warm ? slots : 1));
    }
}
