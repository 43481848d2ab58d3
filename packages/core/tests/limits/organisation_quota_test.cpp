#include "quota_fleet.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Ranks of the organisations in the tests of disturbances: large, middle and small ones.
const std::vector<std::size_t> some_ranks = {1, 20, 80};

/// What happens to a running fleet; `largest_part` is judged afterwards.
struct disturbance
{
    const char* name;
    std::function<void(quota_fleet&)> play;
};

void run_surge(quota_fleet& fleet, duration span)
{
    fleet.set_all_loads(7.5);
    fleet.run(span);
    fleet.set_all_loads(1);
    fleet.run(5s);
}

const std::vector<disturbance> disturbances = {
    {"surge everywhere", [](quota_fleet& fleet) { run_surge(fleet, 20s); }},
    {"surge at one instance",
     [](quota_fleet& fleet)
     {
         for (std::size_t each = 0; each < fleet.organisations(); ++each)
         {
             fleet.crowd(each, 7);
         }
         run_surge(fleet, 20s);
     }},
    {"surge that moves from instance to instance",
     [](quota_fleet& fleet)
     {
         for (std::size_t step = 0; step < 12; ++step)
         {
             for (std::size_t each = 0; each < fleet.organisations(); ++each)
             {
                 fleet.crowd(each, step % fleet.size());
             }
             fleet.set_all_loads(7.5);
             fleet.run(1500ms);
         }
     }},
    {"bursts at all instances at once",
     [](quota_fleet& fleet)
     {
         for (int round = 0; round < 5; ++round)
         {
             for (std::size_t each = 0; each < fleet.organisations(); ++each)
             {
                 fleet.burst(each, 8 * fleet.size());
             }
             fleet.run(800ms);
         }
     }},
    {"surge while a domain is cut off",
     [](quota_fleet& fleet)
     {
         fleet.isolate_domain(2);
         run_surge(fleet, 10s);
         // The isolated instances and the others forget each other's demand meanwhile.
         fleet.run(160s);
         run_surge(fleet, 10s);
         fleet.isolate_domain(std::nullopt);
         run_surge(fleet, 10s);
     }},
    {"surge while the store is out of reach",
     [](quota_fleet& fleet)
     {
         fleet.set_store_reachable(false);
         run_surge(fleet, 20s);
         fleet.set_store_reachable(true);
         run_surge(fleet, 10s);
     }},
    {"a third killed and started again in a surge",
     [](quota_fleet& fleet)
     {
         fleet.set_all_loads(7.5);
         for (std::size_t each = 0; each < fleet.size(); each += 3)
         {
             fleet.kill(each);
         }
         fleet.run(10s);
         for (std::size_t each = 0; each < fleet.size(); each += 3)
         {
             fleet.restart(each);
             fleet.run(100ms);
         }
         run_surge(fleet, 10s);
     }},
    {"all killed at once in a surge",
     [](quota_fleet& fleet)
     {
         fleet.set_all_loads(7.5);
         for (std::size_t each = 0; each < fleet.size(); ++each)
         {
             fleet.kill(each);
         }
         for (std::size_t each = 0; each < fleet.size(); ++each)
         {
             fleet.restart(each);
         }
         run_surge(fleet, 20s);
     }},
    {"restarted again and again in a surge",
     [](quota_fleet& fleet)
     {
         fleet.set_all_loads(7.5);
         for (std::size_t round = 0; round < 200; ++round)
         {
             fleet.restart(round % fleet.size());
             fleet.run(50ms);
         }
     }},
    {"frozen instances in a surge",
     [](quota_fleet& fleet)
     {
         fleet.set_all_loads(7.5);
         for (std::size_t each = 0; each < fleet.size(); each += 4)
         {
             fleet.freeze(each, 8s);
         }
         run_surge(fleet, 20s);
     }},
    {"growth and surge after a long idle time",
     [](quota_fleet& fleet)
     {
         fleet.set_all_loads(0);
         fleet.run(300s);
         run_surge(fleet, 10s);
     }},
    {"higher quota in a surge",
     [](quota_fleet& fleet)
     {
         fleet.set_all_loads(7.5);
         fleet.run(5s);
         for (std::size_t each = 0; each < fleet.organisations(); ++each)
         {
             fleet.set_quota(each, 3);
         }
         fleet.run(20s);
     }},
};

} // namespace

// Guards against quotas that are exceeded in any five seconds, whatever happens to the fleet.
TEST_CASE("organisations keep to their quotas", "[quota]")
{
    const disturbance& each = GENERATE(from_range(disturbances));
    const std::size_t instances = GENERATE(13U, 120U);
    const double loss = GENERATE(0.0, 0.05);
    quota_fleet fleet(
        {.instances = instances, .ranks = some_ranks, .loss = loss, .seed = instances});
    fleet.run(30s);
    each.play(fleet);
    INFO(each.name << ", " << instances << " instances, loss " << loss);
    CHECK(fleet.largest_part({}) <= 1);
}

// Guards against a lowered quota that is exceeded once it has been in force for a window.
TEST_CASE("a lowered quota binds after one window", "[quota]")
{
    const std::size_t instances = GENERATE(13U, 120U);
    quota_fleet fleet({.instances = instances, .ranks = some_ranks});
    fleet.set_all_loads(3);
    fleet.run(30s);
    for (std::size_t each = 0; each < fleet.organisations(); ++each)
    {
        fleet.set_quota(each, 0.5);
    }
    const auto from = fleet.timers.now() + 5s;
    fleet.run(20s);
    INFO(instances << " instances");
    CHECK(fleet.largest_part(from) <= 1);
}

// Guards against callers that are refused although their organisation is within its quota.
TEST_CASE("on a calm day nearly nothing is refused below the quota", "[quota]")
{
    struct row
    {
        std::size_t instances;
        std::vector<std::size_t> ranks;
        double loss;
        bool store_reachable;
    };
    const row each = GENERATE(
        row{13, {}, 0, true}, row{120, {}, 0, true}, row{120, {}, 0.01, true},
        row{120, some_ranks, 0, false}, row{471, some_ranks, 0, true});
    quota_fleet fleet({.instances = each.instances, .ranks = each.ranks, .loss = each.loss});
    fleet.run(20s);
    fleet.set_store_reachable(each.store_reachable);
    const auto from = fleet.timers.now();
    fleet.run(60s);
    INFO(each.instances << " instances, loss " << each.loss);
    CHECK(fleet.refused_at_first(from) <= 0.02);
    CHECK(fleet.largest_part({}) <= 1);
}

// Guards against quotas of which a large part stays unused while callers want more.
TEST_CASE("a surge uses most of the quota", "[quota]")
{
    const std::size_t instances = GENERATE(13U, 120U);
    quota_fleet fleet({.instances = instances, .ranks = some_ranks});
    fleet.run(20s);
    fleet.set_all_loads(4);
    fleet.run(5s);
    const auto from = fleet.timers.now();
    fleet.run(20s);
    for (std::size_t each = 0; each < fleet.organisations(); ++each)
    {
        INFO(instances << " instances, organisation " << each);
        CHECK(fleet.used(each, from) >= 0.8);
    }
}

// Hidden: prints the figures of docs/decisions/organisation-quotas.md.
TEST_CASE("measured days of organisations", "[.measure]")
{
    struct row
    {
        std::size_t instances;
        std::vector<std::size_t> ranks;
    };
    const row each = GENERATE(
        row{13, {}}, row{120, {}}, row{471, {1, 5, 10, 20, 40, 60, 80}}, row{2413, {5, 20, 80}});
    const bool lends = GENERATE(true, false);
    quota_fleet fleet({.instances = each.instances, .ranks = each.ranks, .lends = lends});
    fleet.run(30s);
    const auto from = fleet.timers.now();
    const auto before = std::array{fleet.reports, fleet.report_messages, fleet.token_messages};
    fleet.run(60s);
    const auto a_second = [](std::size_t now, std::size_t then)
    { return static_cast<double>(now - then) / 60; };
    std::cout << each.instances << " instances, " << (lends ? "lending" : "alone")
              << ": refused at first " << fleet.refused_at_first(from) << ", in the end "
              << fleet.refused_in_the_end(from) << ", of the smallest organisation "
              << fleet.refused_of(fleet.organisations() - 1, from) << ", largest part of the bound "
              << fleet.largest_part({}) << ", a second: reports "
              << a_second(fleet.reports, before[0]) << " in "
              << a_second(fleet.report_messages, before[1]) << " messages, token messages "
              << a_second(fleet.token_messages, before[2]) << std::endl;
}

// Hidden, as above.
TEST_CASE("measured disturbances of organisations", "[.measure]")
{
    const disturbance& each = GENERATE(from_range(disturbances));
    const std::size_t instances = GENERATE(13U, 120U, 471U);
    quota_fleet fleet({.instances = instances, .ranks = {1, 5, 20, 80}, .loss = 0.02});
    fleet.run(30s);
    each.play(fleet);
    std::cout << each.name << ", " << instances << " instances: " << fleet.largest_part({})
              << std::endl;
}
