#include <catkintally/core/admission/crash_history.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

target_crash crash(const char* target, duration sent_at, duration crashed_at)
{
    return {
        .fingerprint = 7,
        .target = target,
        .sent_at = time_point(sent_at),
        .crashed_at = time_point(crashed_at)};
}

} // namespace

// Guards against a request that crashes one target after the other, whichever instance its caller
// sends it to, and against a common request that is refused because targets crash for other
// reasons.
TEST_CASE("a request that crashes three targets in a row is refused")
{
    struct row
    {
        const char* name;
        std::vector<target_crash> crashes;
        duration asked_at;
        bool refused;
    };
    const std::vector<row> rows = {
        {"three in a row",
         {crash("a", 100s, 101s), crash("b", 102s, 103s), crash("c", 104s, 105s)},
         106s,
         true},
        {"two in a row", {crash("a", 100s, 101s), crash("b", 102s, 103s)}, 106s, false},
        {"in flight together",
         {crash("a", 100s, 103s), crash("b", 100s, 103s), crash("c", 101s, 103s),
          crash("d", 102s, 103s)},
         106s,
         false},
        {"two waves of failures",
         {crash("a", 100s, 103s), crash("b", 100s, 103s), crash("c", 104s, 105s),
          crash("d", 104s, 105s)},
         106s,
         false},
        {"heard out of order",
         {crash("c", 104s, 105s), crash("a", 100s, 101s), crash("b", 102s, 103s)},
         106s,
         true},
        {"the same crash twice",
         {crash("a", 100s, 101s), crash("a", 100s, 101s), crash("b", 102s, 103s)},
         106s,
         false},
        {"a minute later",
         {crash("a", 100s, 101s), crash("b", 102s, 103s), crash("c", 104s, 105s)},
         162s,
         false}};
    for (const row& each : rows)
    {
        INFO(each.name);
        crash_history ledger;
        for (const target_crash& known : each.crashes)
        {
            ledger.add(known, time_point(106s));
        }
        CHECK(ledger.refuses(7, time_point(each.asked_at)) == each.refused);
        CHECK_FALSE(ledger.refuses(8, time_point(each.asked_at)));
        CHECK(ledger.answered(7));
        CHECK_FALSE(ledger.refuses(7, time_point(each.asked_at)));
        CHECK_FALSE(ledger.answered(7));
    }
}

// Guards against notices of crashes and of their all-clear that chase each other through the fleet
// for ever: on a played day they filled the links between the instances with 6 GB.
TEST_CASE("a crash that was cleared is not new again")
{
    crash_history ledger;
    CHECK(ledger.add(crash("a", 100s, 101s), time_point(101s)));
    CHECK(ledger.answered(7));
    CHECK_FALSE(ledger.add(crash("a", 100s, 101s), time_point(101s)));
    CHECK_FALSE(ledger.answered(7));
    CHECK(ledger.suspected().empty());
    CHECK(ledger.add(crash("b", 102s, 103s), time_point(103s)));
    REQUIRE(ledger.suspected().size() == 1);
    CHECK(ledger.suspected()[0].target == "b");
    CHECK(ledger.answered(7));
    CHECK_FALSE(ledger.answered(7));
}

// Guards against crashes that are passed on for ever, and against memory that grows with them.
TEST_CASE("a crash is new once, and the ledger is bounded")
{
    crash_history ledger;
    CHECK(ledger.add(crash("a", 100s, 101s), time_point(101s)));
    CHECK_FALSE(ledger.add(crash("a", 100s, 101s), time_point(102s)));
    CHECK_FALSE(ledger.add(crash("b", 1s, 2s), time_point(102s)));
    for (std::uint64_t request = 1; request < 5000; ++request)
    {
        target_crash each = crash("a", 100s, 101s);
        each.fingerprint = request;
        ledger.add(each, time_point(102s));
    }
    CHECK(ledger.size() <= 1024);
}
