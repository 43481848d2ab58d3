#include "shortage_model.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

using results = std::map<std::string, kind_result>;

kind_result total(const results& all)
{
    kind_result sum;
    for (const auto& [name, each] : all)
    {
        sum.sent += each.sent;
        sum.served += each.served;
        sum.worth += each.worth;
    }
    return sum;
}

/// Plays the same arrivals with the rule before and with the policy, and prints both results.
std::pair<results, results> compare(const std::string& load, shortage_model_options options)
{
    std::pair<results, results> both;
    for (const bool policy : {false, true})
    {
        options.policy = policy;
        shortage_model model(options);
        results& result = policy ? both.second : both.first;
        result = model.run();
        std::cout << load << ", " << (policy ? "policy" : "before") << ": worth "
                  << std::lround(total(result).worth) << std::fixed << std::setprecision(2)
                  << ", probes per request " << model.probes_per_request() << ", served (on time)";
        for (const auto& [name, each] : result)
        {
            std::cout << "; " << name << " " << each.served_fraction() << " ("
                      << static_cast<double>(each.on_time) / static_cast<double>(each.sent) << ")";
        }
        std::cout << "\n";
    }
    CHECK(total(both.second).worth >= total(both.first).worth);
    for (const auto& [name, each] : both.second)
    {
        INFO(name);
        CHECK(each.served_fraction() >= 0.25 * total(both.second).served_fraction());
    }
    return both;
}

/// Scales the kinds to this multiple of the capacity; before, their rates are shares of it.
void set_load(shortage_model_options& options, double load)
{
    double shares = 0;
    for (const request_kind& each : options.kinds)
    {
        shares += each.per_second;
    }
    const double factor = load * shortage_model(options).capacity() / shares;
    for (request_kind& each : options.kinds)
    {
        each.per_second *= factor;
    }
}

} // namespace

// Guards against urgent requests that are served less often than others while the service is short,
// and against kinds that get nothing. Load: a service of mixed kinds at 1.3 and 2 times its
// capacity, as in bursts; the rule before served what waits longest.
TEST_CASE("while a service is short urgent kinds are served first and none starves", "[shortage]")
{
    struct row
    {
        double load;
        double pay_share;
        bool lists;
    };
    const auto [load, pay_share, lists] = GENERATE(
        row{1.3, 0.05, true}, row{1.3, 0.2, false}, row{2.0, 0.05, false}, row{2.0, 0.2, true});
    shortage_model_options options;
    options.kinds = {
        {.name = "pay",
         .priority = 0,
         .per_second = pay_share,
         .work = 220ms,
         .objective = 500ms,
         .worth = 4.5,
         .late_worth = 0.18},
        {.name = "read",
         .priority = 1,
         .per_second = 0.6,
         .work = 320ms,
         .objective = 800ms,
         .worth = 0.8,
         .late_worth = 0.08}};
    if (lists)
    {
        options.kinds.push_back(
            {.name = "list",
             .priority = 2,
             .per_second = 0.1,
             .work = 1300ms,
             .objective = 6000ms,
             .worth = 0.4,
             .late_worth = 0.06});
    }
    set_load(options, load);
    std::ostringstream name;
    name << "load " << load << ", pay " << pay_share;
    const auto [before, after] = compare(name.str(), options);
    CHECK(after.at("pay").served_fraction() >= after.at("read").served_fraction());
    CHECK(after.at("pay").served_fraction() >= before.at("pay").served_fraction());
    if (lists)
    {
        CHECK(after.at("pay").served_fraction() >= after.at("list").served_fraction());
        CHECK(after.at("read").served_fraction() >= after.at("list").served_fraction());
    }
}

// Guards against an organisation that displaces others. Load: seven organisations at their usual
// rates and one that sends 7.5 times its usual rate for half of the time, or what its quota of 1.6
// times leaves of that; the rule before served all requests alike.
TEST_CASE(
    "an organisation that sends many times its usual rate does not displace others", "[shortage]")
{
    const auto [surge, rates_known] =
        GENERATE(std::pair(1.6, false), std::pair(7.5, false), std::pair(7.5, true));
    shortage_model_options options;
    options.rates_known = rates_known;
    for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "surging"})
    {
        options.kinds.push_back(
            {.name = name,
             .priority = 1,
             .per_second = 1,
             .work = 320ms,
             .objective = 800ms,
             .organisation = name,
             .surge = std::string(name) == "surging" ? surge : 1});
    }
    set_load(options, surge > 2 ? 0.8 : 1.3);
    for (const request_kind& each : options.kinds)
    {
        organisation_row& added = options.organisations.emplace_back();
        added.name = each.name;
        added.requests_per_s = 1.6 * each.per_second;
    }
    std::ostringstream name;
    name << "surge " << surge << (rates_known ? ", fleet's rates" : ", own rates");
    const auto [before, after] = compare(name.str(), options);
    results others_before = before;
    results others_after = after;
    others_before.erase("surging");
    others_after.erase("surging");
    CHECK(total(others_after).worth > total(others_before).worth);
    if (surge > 2)
    {
        CHECK(total(others_after).served_fraction() > total(others_before).served_fraction());
        for (const auto& [organisation, each] : others_after)
        {
            INFO(organisation);
            CHECK(each.on_time > before.at(organisation).on_time);
            CHECK(each.served_fraction() > after.at("surging").served_fraction() + 0.1);
        }
    }
}
