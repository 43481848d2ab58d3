#include <catkintally/core/admission/crash_history.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
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

// Guards against a request that crashes one target after another through different instances, and
// against refusing a common request because targets crash for other reasons.
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
        {"two groups of simultaneous failures",
         {crash("a", 100s, 103s), crash("b", 100s, 103s), crash("c", 104s, 105s),
          crash("d", 104s, 105s)},
         106s,
         false},
        {"reported out of order",
         {crash("c", 104s, 105s), crash("a", 100s, 101s), crash("b", 102s, 103s)},
         106s,
         true},
        {"the same crash twice",
         {crash("a", 100s, 101s), crash("a", 100s, 101s), crash("b", 102s, 103s)},
         106s,
         false},
        {"nearly a minute later",
         {crash("a", 100s, 101s), crash("b", 102s, 103s), crash("c", 104s, 105s)},
         164s,
         true},
        {"minutes apart",
         {crash("a", 100s, 101s), crash("b", 300s, 301s), crash("c", 500s, 501s)},
         502s,
         true},
        {"hours apart",
         {crash("a", 100s, 101s), crash("b", 36'000s, 36'001s), crash("c", 72'000s, 72'001s)},
         72'002s,
         true},
        {"a target that starts again under its name",
         {crash("a", 100s, 101s), crash("a", 200s, 201s), crash("a", 300s, 301s)},
         302s,
         true}};
    for (const row& each : rows)
    {
        INFO(each.name);
        crash_history history;
        for (const target_crash& known : each.crashes)
        {
            history.add(known, std::max(time_point(106s), known.crashed_at));
        }
        const time_point now(each.asked_at);
        const auto verdict = [&](std::uint64_t fingerprint)
        { return history.refused().note_arrival(fingerprint, now).verdict; };
        CHECK(verdict(7) == (each.refused ? crash_verdict::refused : crash_verdict::admitted));
        CHECK(verdict(8) == crash_verdict::admitted);
        CHECK(history.answered(7, now));
        CHECK(verdict(7) == crash_verdict::admitted);
        CHECK_FALSE(history.answered(7, now));
    }
}

// Guards against notices of crashes and clearances that instances forward to each other without
// end: on one test day they filled the links between the instances with 6 GB.
TEST_CASE("a cleared crash does not become new again")
{
    crash_history history;
    CHECK(history.add(crash("a", 100s, 101s), time_point(101s)));
    CHECK(history.answered(7, time_point(101s)));
    CHECK_FALSE(history.add(crash("a", 100s, 101s), time_point(101s)));
    CHECK_FALSE(history.answered(7, time_point(102s)));
    CHECK(history.suspected().empty());
    CHECK(history.add(crash("b", 102s, 103s), time_point(103s)));
    REQUIRE(history.suspected().size() == 1);
    CHECK(history.suspected()[0].target == "b");
    CHECK(history.answered(7, time_point(104s)));
    CHECK_FALSE(history.answered(7, time_point(104s)));
}

// Guards against crash notices that are forwarded without end, and against unbounded memory use.
TEST_CASE("a crash is new only once, and the number of recorded requests is bounded")
{
    crash_history history;
    CHECK(history.add(crash("a", 100s, 101s), time_point(101s)));
    CHECK_FALSE(history.add(crash("a", 100s, 101s), time_point(102s)));
    CHECK_FALSE(history.add(crash("b", 1s, 2s), time_point(86'402s)));
    for (std::uint64_t request = 1; request < 5000; ++request)
    {
        target_crash each = crash("a", 100s, 101s);
        each.fingerprint = request;
        history.add(each, time_point(102s));
    }
    CHECK(history.size() <= 1024);
    CHECK(history.refused().size() == 0);
}

// Guards against a request that crashes further targets because a flood of other requests that
// crash targets has displaced what is known of it.
TEST_CASE("crashes of other requests do not evict a refused one")
{
    crash_history history;
    const std::vector<target_crash> crashes = {
        crash("a", 100s, 101s), crash("b", 102s, 103s), crash("c", 104s, 105s)};
    for (const target_crash& each : crashes)
    {
        history.add(each, time_point(106s));
    }
    for (std::uint64_t request = 100; request < 5000; ++request)
    {
        target_crash each = crash("d", 106s, 107s);
        each.fingerprint = request;
        history.add(each, time_point(107s));
    }
    CHECK(history.refused().note_arrival(7, time_point(110s)).verdict == crash_verdict::refused);
    // Nor do requests that are refused themselves, as long as it keeps arriving.
    for (std::uint64_t request = 10'000; request < 13'000; ++request)
    {
        history.refused().note_crash(request, 3, time_point(110s), time_point(111s));
        CHECK(
            history.refused().note_arrival(7, time_point(112s)).verdict == crash_verdict::refused);
    }
    CHECK(history.refused().size() <= crash_records::capacity);
}
