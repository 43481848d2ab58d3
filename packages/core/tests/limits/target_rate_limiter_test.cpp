#include "limited_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Requests that a target may get in any 4 s.
std::size_t allowed(double per_second)
{
    return static_cast<std::size_t>(std::floor(1.5 * per_second * 4)) + 5;
}

/// From then on the limit that a target names must hold.
constexpr auto contact_time = 3s;

/// Instances learn of a limit, and of each other's demand, in this time.
constexpr auto learning_time = 6s;

struct limited_day
{
    std::size_t window = 0;
    double rate = 0;
};

/// What a target gets from 3 s after the fleet first heard of its limit.
limited_day play(limited_fleet& fleet, double per_second, duration span)
{
    fleet.run(8s);
    fleet.set_limit(0, per_second);
    fleet.run(contact_time);
    const time_point bound_from = fleet.timers.now();
    fleet.run(learning_time - contact_time);
    const time_point used_from = fleet.timers.now();
    fleet.run(span);
    return {.window = fleet.largest_window(0, bound_from), .rate = fleet.rate(0, used_from)};
}

} // namespace

// Guards against targets that get more requests from all instances together than the limit that
// they name allows, and against limits that are left unused although there is work (issue 28).
TEST_CASE("all instances together keep to the limit of a target and use it")
{
    struct row
    {
        std::size_t instances;
        double per_second;
        double requests_per_s;
        duration span;
    };
    const auto sample = GENERATE(values<row>(
        {{3, 0.5, 20, 60s},
         {3, 3, 20, 30s},
         {3, 200, 500, 10s},
         {13, 0.5, 30, 60s},
         {13, 1.1, 30, 60s},
         {13, 3, 30, 30s},
         {13, 30, 100, 20s},
         {13, 300, 600, 10s},
         {127, 0.5, 200, 60s},
         {127, 3, 200, 20s},
         {127, 40, 200, 10s},
         {127, 300, 600, 6s},
         {471, 3, 800, 10s},
         {471, 300, 800, 6s}}));
    INFO(sample.instances << " instances, limit " << sample.per_second);
    limited_fleet fleet(
        {.instances = sample.instances,
         .targets = 1,
         .requests_per_s = sample.requests_per_s,
         .service_time = 5ms});
    const limited_day day = play(fleet, sample.per_second, sample.span);
    CAPTURE(day.rate);
    CHECK(day.window <= allowed(sample.per_second));
    CHECK(day.rate <= sample.per_second * 1.1);
    CHECK(day.rate >= sample.per_second * 0.85);
}

// Guards against a limit that is exceeded while news between instances are late or lost, while the
// number of instances is estimated wrongly, or while instances join, leave, restart or stand still.
TEST_CASE("the limit of a target holds while the fleet is disturbed")
{
    struct row
    {
        const char* name;
        limited_fleet_options options;
        std::function<void(limited_fleet&)> disturb;
    };
    const auto none = [](limited_fleet&) {};
    const std::vector<row> rows = {
        {"news are seconds late", {.max_news_delay = 4s}, none},
        {"news are always late", {.min_news_delay = 2s, .max_news_delay = 3s}, none},
        {"a third of the news are lost", {.news_loss = 0.33}, none},
        {"the size of the fleet is underestimated", {.size_estimate_error = 0.85}, none},
        {"the size of the fleet is overestimated", {.size_estimate_error = 1.2}, none},
        {"the size of the fleet is not known yet", {.size_estimate_error = 200}, none},
        {"instances restart one after the other",
         {},
         [](limited_fleet& fleet)
         {
             for (std::size_t instance = 0; instance < 13; ++instance)
             {
                 fleet.restart(instance);
                 fleet.run(500ms);
             }
         }},
        {"all instances restart",
         {},
         [](limited_fleet& fleet)
         {
             for (std::size_t instance = 0; instance < 13; ++instance)
             {
                 fleet.restart(instance);
             }
         }},
        {"a third of the instances ends",
         {},
         [](limited_fleet& fleet)
         {
             for (std::size_t instance = 0; instance < 13; instance += 3)
             {
                 fleet.kill(instance);
             }
         }},
        {"instances join",
         {},
         [](limited_fleet& fleet)
         {
             for (std::size_t count = 0; count < 13; ++count)
             {
                 fleet.add_instance();
                 fleet.restart(12 + count);
                 fleet.run(200ms);
             }
         }},
        {"instances stand still",
         {},
         [](limited_fleet& fleet)
         {
             for (std::size_t instance = 0; instance < 6; ++instance)
             {
                 fleet.freeze(instance, 3s);
             }
         }},
        {"a crowd comes after a pause",
         {},
         [](limited_fleet& fleet)
         {
             fleet.set_requests_per_s(0.1);
             fleet.run(60s);
             fleet.set_requests_per_s(2000);
         }},
        {"two halves of the fleet do not hear each other",
         {},
         [](limited_fleet& fleet)
         {
             fleet.separate_halves(true);
             fleet.run(20s);
             fleet.separate_halves(false);
         }},
        {"all callers move to one instance", {}, [](limited_fleet& fleet) { fleet.crowd({4}); }},
        {"the callers move from one instance to the next",
         {.max_news_delay = 3s},
         [](limited_fleet& fleet)
         {
             for (std::size_t instance = 0; instance < 13; ++instance)
             {
                 fleet.crowd({instance, 12 - instance});
                 fleet.run(2s);
             }
             fleet.crowd({});
         }}};
    const double limit = GENERATE(0.5, 1.5, 12.0);
    for (const row& each : rows)
    {
        INFO(each.name << ", limit " << limit);
        limited_fleet_options options = each.options;
        options.targets = 1;
        options.requests_per_s = 60;
        options.service_time = 5ms;
        limited_fleet fleet(options);
        fleet.run(2s);
        fleet.set_limit(0, limit);
        fleet.run(contact_time);
        const time_point from = fleet.timers.now();
        fleet.run(15s);
        each.disturb(fleet);
        fleet.run(20s);
        CHECK(fleet.largest_window(0, from) <= allowed(limit));
    }
}

// Guards against a limit that is read from successful answers only, or kept although the target
// has raised, lowered or withdrawn it.
TEST_CASE("instances follow the limit that a target names")
{
    limited_fleet fleet({.targets = 1, .requests_per_s = 60, .service_time = 5ms});
    struct row
    {
        std::optional<double> limit;
        std::uint16_t status;
        double least;
        double most;
    };
    fleet.run(2s);
    for (const row& each : std::vector<row>{
             {3, 200, 2, 3.3},
             {8, 500, 6, 8.8},
             {1, 200, 0.6, 1.3},
             {std::nullopt, 200, 50, 1000},
             {2, 503, 1.4, 2.3},
             {2, 200, 1.4, 2.3},
             {300, 200, 50, 1000}})
    {
        INFO(each.limit.value_or(-1) << " named with status " << each.status);
        fleet.set_limit(0, each.limit);
        fleet.set_status(0, each.status);
        fleet.run(8s);
        const time_point from = fleet.timers.now();
        fleet.run(30s);
        CHECK(fleet.rate(0, from) >= each.least);
        CHECK(fleet.rate(0, from) <= each.most);
    }
}

// Guards against an incarnation that is held to the limit of the one before it.
TEST_CASE("a target that starts again starts without a limit")
{
    limited_fleet fleet({.targets = 1, .requests_per_s = 60, .service_time = 5ms});
    play(fleet, 1, 5s);
    fleet.restart_target(0);
    const time_point from = fleet.timers.now();
    fleet.run(2s);
    CHECK(fleet.rate(0, from) > 40);
}

// Guards against limits that hold for one target at a time only.
TEST_CASE("many targets of a service name limits at the same time")
{
    struct row
    {
        std::size_t instances;
        std::size_t targets;
        double requests_per_s;
    };
    const auto sample = GENERATE(values<row>({{13, 8, 60}, {127, 40, 300}}));
    const std::vector<double> limits = {0.5, 1, 3, 8};
    limited_fleet fleet(
        {.instances = sample.instances,
         .targets = sample.targets,
         .requests_per_s = sample.requests_per_s,
         .service_time = 5ms});
    fleet.run(8s);
    double sum = 0;
    for (std::size_t target = 0; target < sample.targets; ++target)
    {
        fleet.set_limit(target, limits[target % limits.size()]);
        sum += limits[target % limits.size()];
    }
    fleet.run(contact_time);
    const time_point from = fleet.timers.now();
    fleet.run(25s);
    double rate = 0;
    for (std::size_t target = 0; target < sample.targets; ++target)
    {
        INFO("target " << target);
        CHECK(fleet.largest_window(target, from) <= allowed(limits[target % limits.size()]));
        rate += fleet.rate(target, from);
    }
    CHECK(rate <= 1.1 * sum);
    CHECK(rate >= 0.8 * sum);
}

// Guards against requests that wait or fail although another target has room, and against requests
// that wait although no target can take them.
TEST_CASE("work moves to other targets, and what no target can take is refused at once")
{
    limited_fleet fleet({.targets = 4, .requests_per_s = 60, .service_time = 5ms});
    fleet.run(2s);
    for (std::size_t target = 0; target < 3; ++target)
    {
        fleet.set_limit(target, 1);
    }
    fleet.run(learning_time);
    CHECK(fleet.refusals.empty());
    const time_point some_limited = fleet.timers.now();
    fleet.run(5s);
    CHECK(fleet.rate(3, some_limited) > 50);

    fleet.set_limit(3, 2);
    fleet.run(learning_time);
    fleet.refusals.clear();
    const time_point all_limited = fleet.timers.now();
    fleet.run(20s);
    double rate = 0;
    for (std::size_t target = 0; target < 4; ++target)
    {
        rate += fleet.rate(target, all_limited);
    }
    CHECK(rate > 5 * 0.8);
    REQUIRE_FALSE(fleet.refusals.empty());
    for (const auto& each : fleet.refusals)
    {
        CHECK(each.code == decision_code::refused_target_limit);
        CHECK(each.took < 150ms);
        CHECK(each.retry_after >= 200ms);
        CHECK(each.retry_after <= 10s);
    }
    const auto at_once = std::count_if(
        fleet.refusals.begin(), fleet.refusals.end(),
        [](const auto& each) { return each.took == duration::zero(); });
    CHECK(static_cast<double>(at_once) > 0.9 * static_cast<double>(fleet.refusals.size()));
}
