#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/stand_ins/target/target_control.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace catkintally;
using namespace std::chrono_literals;
using stand_ins::target_answer;

namespace
{

/// One target on virtual time, with the answers in the order in which they came.
struct bench
{
    core::manual_timer_service timers;
    stand_ins::target_log log;
    stand_ins::target_model target;
    std::vector<target_answer> answers;

    explicit bench(stand_ins::target_options options = {})
        : target(std::move(options), timers, log)
    {
    }

    std::uint64_t
    submit(const std::string& key = {}, const std::string& path = "/", bool cancellable = true)
    {
        return target.submit(
            {.key = key,
             .path = path,
             .cancellable = cancellable,
             .answer = [this](const target_answer& given) { answers.push_back(given); }});
    }

    stand_ins::target_log::counters& counters() { return log.of("target"); }
};

} // namespace

TEST_CASE("a target runs its slots, lets as many wait and sheds the rest", "[target]")
{
    bench b({.slots = 2, .shed_status = 429});
    for (int i = 0; i < 5; ++i)
    {
        b.submit("k" + std::to_string(i));
    }
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].status == 429);
    CHECK(b.answers[0].not_run);
    CHECK(b.counters().started == 2);

    b.timers.advance(10s);
    CHECK(b.counters().finished == 4);
    CHECK(b.counters().max_running == 2);
    CHECK(b.log.keys().count("k4") == 0);
    CHECK(b.log.keys().at("k0").finished == 1);
}

TEST_CASE("a cold target refuses more than it carries and loses its progress", "[target]")
{
    bench b({.start_cold = true, .cold_capacity = 1, .warm_after = 2});
    b.submit();
    b.submit();
    b.submit();
    b.timers.advance(10s);
    // Overload refusals are not marked as not run; every second one closes its connection.
    REQUIRE(b.answers.size() == 3);
    CHECK(b.counters().refused_cold == 2);
    CHECK(b.counters().max_running_cold == 1);
    CHECK(
        std::count_if(
            b.answers.begin(), b.answers.end(),
            [](const target_answer& given) { return given.close; }) == 1);
    CHECK(b.target.cold());
    b.submit();
    b.timers.advance(10s);
    CHECK_FALSE(b.target.cold());
}

TEST_CASE("a crash drops all work and the target comes back cold", "[target]")
{
    bench b({.down_time = 100ms});
    std::vector<bool> changes;
    b.target.down_changed = [&](bool down) { changes.push_back(down); };
    b.submit("k1");
    b.submit("k2", "/crash/now");
    b.timers.advance(5s);
    CHECK(changes == std::vector<bool>{true, false});
    CHECK(b.counters().crashes == 1);
    CHECK(b.log.keys().at("k2").started == 1);
    CHECK(b.log.keys().at("k2").finished == 0);
    CHECK(b.target.cold());
}

TEST_CASE("a caller that goes away ends a lookup but not an order", "[target]")
{
    bench b;
    b.target.cancel(b.submit("lookup", "/", true));
    b.target.cancel(b.submit("order", "/", false));
    b.timers.advance(10s);
    CHECK(b.answers.empty());
    CHECK(b.counters().cancelled == 1);
    CHECK(b.log.keys().at("lookup").finished == 0);
    CHECK(b.log.keys().at("order").finished == 1);
}

TEST_CASE("work that waits past its deadline is refused as not run", "[target]")
{
    bench b({.slots = 1, .service_time = 50ms});
    b.submit("first");
    b.target.submit({.key = "late", .deadline = 1ms, .answer = [&](const target_answer& given) {
                         b.answers.push_back(given);
                     }});
    b.timers.advance(10s);
    REQUIRE(b.answers.size() == 2);
    CHECK(b.answers[1].not_run);
    CHECK(b.log.keys().count("late") == 0);
}

TEST_CASE("starts after a drain are counted with their age", "[target]")
{
    const bool announced = GENERATE(true, false);
    bench b;
    if (announced)
    {
        b.target.set_draining(true);
    }
    else
    {
        b.target.watch_starts(true);
    }
    b.timers.advance(300ms);
    b.submit();
    CHECK(b.counters().started_after_drain == 1);
    CHECK(b.counters().last_start_after_drain_ms == 300);
    const bool says_draining = b.target.load_report().find("phase=draining") != std::string::npos;
    CHECK(says_draining == announced);
}

TEST_CASE("load reports can be old or wrong", "[target]")
{
    bench b;
    b.target.set_report(stand_ins::report_mode::stale);
    const std::string idle = b.target.load_report();
    b.submit();
    CHECK(b.target.load_report() == idle);
    b.target.set_report(stand_ins::report_mode::misleading);
    b.target.make_cold();
    CHECK(b.target.load_report() == "running=0 queued=0 phase=warm");
    b.target.set_report(stand_ins::report_mode::honest);
    CHECK(b.target.load_report() == "running=1 queued=0 phase=cold");
}

TEST_CASE("a control object with an unknown member changes nothing", "[target]")
{
    bench b;
    CHECK_FALSE(apply_control(b.target, {{"cold", true}, {"typo", 1}}).empty());
    CHECK_FALSE(apply_control(b.target, {{"cold", "yes"}}).empty());
    CHECK_FALSE(b.target.cold());
    CHECK(apply_control(b.target, {{"cold", true}}).empty());
    CHECK(b.target.cold());
}

// Guards against a stand-in that cannot show what its callers do with a rate limit.
TEST_CASE("a target names the rate limit that it is told to name", "[target]")
{
    bench b;
    CHECK(b.target.rate_limit().empty());
    CHECK(stand_ins::apply_control(b.target, {{"rate_limit", "1.5"}}).empty());
    CHECK(b.target.rate_limit() == "1.5");
    CHECK(stand_ins::apply_control(b.target, {{"rate_limit", ""}}).empty());
    CHECK(b.target.rate_limit().empty());
    CHECK_FALSE(stand_ins::apply_control(b.target, {{"rate_limit", 2}}).empty());
}
