#include "support/slow_link_fleet.hpp"

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

// Guards against changes of a large configuration that fill the links between instances and come
// into force seconds after their acknowledgement.
TEST_CASE("a change of a large configuration reaches all instances in time")
{
    struct row
    {
        const char* name;
        std::size_t instances;
        std::size_t routes_before;
        std::size_t routes;
        int changes;
        core::duration pause;
    };
    // 4,300 routes have about 1 MB, the largest value that the store takes.
    const std::vector<row> rows = {
        {"one change, 13 instances", 13, 4'300, 4'300, 1, 0ms},
        {"one change, 219 instances", 219, 4'300, 4'300, 1, 0ms},
        {"changes in quick succession, 13 instances", 13, 4'300, 4'300, 12, 330ms},
        {"changes in quick succession, 219 instances", 219, 4'300, 4'300, 12, 330ms},
        {"growth by 1,400 routes, 219 instances", 219, 2'900, 4'300, 1, 0ms}};
    for (const row& each : rows)
    {
        INFO(each.name);
        slow_link_fleet fleet({.instances = each.instances});
        fleet.write(1, each.routes_before);
        REQUIRE(fleet.knowing(1) == each.instances);
        const std::size_t before = fleet.bytes();
        std::uint64_t version = 1;
        for (int change = 0; change < each.changes; ++change)
        {
            fleet.pass(change == 0 ? 0ms : each.pause);
            fleet.write(++version, each.routes);
        }
        // A change must be in force 2.5 s after its acknowledgement. At 10 Mbit/s a reader takes
        // 840 ms for 1 MB, and may have to take the answer before it first.
        const auto limit = 2'500ms - 2 * 840ms;
        fleet.pass(limit);
        INFO(
            "bytes an instance and change: " << (fleet.bytes() - before) / each.instances /
                                                    static_cast<std::size_t>(each.changes));
        CHECK(fleet.knowing(version) == each.instances);
    }
}
