#include <admission/admission_fixture.hpp>

#include <catkintally/core/admission/fixed_share.hpp>
#include <catkintally/core/admission/local_gateway.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

table_snapshot make_table(std::size_t targets, std::uint32_t slots = 2)
{
    service_config config;
    config.service.name = "catalog";
    for (std::size_t number = 0; number < targets; ++number)
    {
        target_row row;
        row.name = "t" + std::to_string(number);
        row.failure_domain = "d" + std::to_string(number % 2);
        row.slots = slots;
        config.targets.push_back(row);
    }
    table_snapshot table;
    table.services["catalog"] = config;
    return table;
}

} // namespace

// Guards against baselines that ignore the table or miscount, which would bias comparisons in
// favour of the owner's admission control.
TEST_CASE("each baseline mode spreads requests and respects the table")
{
    const auto mode = GENERATE(
        baseline_mode::round_robin, baseline_mode::two_choices, baseline_mode::least_in_flight);
    manual_timer_service timers;
    local_gateway local({.mode = mode, .timers = &timers, .seed = 5});
    table_snapshot table = make_table(4);
    table.domains["d1"] = {.name = "d1", .state = domain_state::out};
    local.apply(table);
    const admission_gateway gateway = local.gateway();
    std::map<std::string, int> counts;
    for (request_id id = 1; id <= 40; ++id)
    {
        admission_request request;
        request.id = id;
        request.service = "catalog";
        gateway.ask(request, [&](const admission_answer& answer) { ++counts[answer.target]; });
        CHECK(gateway.may_send(id));
    }
    CHECK(counts.size() == 2);
    CHECK(counts["t0"] == 20);
    CHECK(local.in_flight("catalog", "t2") == 20);
    gateway.complete(report_of(1, {}), nullptr);
    gateway.complete(report_of(1, {}), nullptr);
    CHECK(local.in_flight("catalog", "t0") + local.in_flight("catalog", "t2") == 39);
    table.domains["d0"] = {.name = "d0", .state = domain_state::out};
    local.apply(table);
    CHECK_FALSE(gateway.may_send(2));
    CHECK(baseline_mode_from(name_of(mode)) == mode);
}

// Guards against slots assigned to two members or to none.
TEST_CASE("the shares of all members add up to the slots of each target")
{
    const std::size_t members = GENERATE(1, 3, 13, 40);
    manual_timer_service timers;
    const table_snapshot table = make_table(8);
    std::map<std::string, int> taken;
    request_id id = 1;
    for (std::size_t member = 0; member < members; ++member)
    {
        fixed_share share(timers);
        share.apply(table.services.at("catalog"), table, member, members);
        for (int number = 0; number < 8; ++number)
        {
            share.record_granted_answer("t" + std::to_string(number));
        }
        while (const auto target = share.take(id++, {}))
        {
            ++taken[*target];
        }
    }
    CHECK(taken.size() == 8);
    for (const auto& [target, count] : taken)
    {
        CHECK(count == 2);
    }
}

// Guards against several instances each sending a request to the same cold target.
TEST_CASE("without a warm target only the holder of slot 0 may send one request")
{
    manual_timer_service timers;
    const table_snapshot table = make_table(4, 3);
    std::map<std::string, int> taken;
    request_id id = 1;
    for (std::size_t member = 0; member < 5; ++member)
    {
        fixed_share share(timers);
        share.apply(table.services.at("catalog"), table, member, 5);
        while (const auto target = share.take(id++, {}))
        {
            ++taken[*target];
        }
    }
    CHECK(taken == std::map<std::string, int>{{"t0", 1}, {"t1", 1}, {"t2", 1}, {"t3", 1}});
}

// Guards against relying on an old answer, or on the answer of a target that was out in between.
TEST_CASE("a target counts as warm for 10 s after an answer, and only while it is not taken out")
{
    const bool taken_out = GENERATE(true, false);
    manual_timer_service timers;
    table_snapshot table = make_table(2);
    fixed_share share(timers);
    const auto apply = [&] { share.apply(table.services.at("catalog"), table, 0, 1); };
    apply();
    share.record_granted_answer("t0");
    CHECK(share.take(1, {}) == "t0");
    CHECK(share.take(2, {}) == "t0");
    CHECK_FALSE(share.take(3, {}));
    if (taken_out)
    {
        table.services.at("catalog").targets[0].state = target_admin_state::draining;
        apply();
        table = make_table(2);
        apply();
    }
    else
    {
        timers.advance(10s);
    }
    share.release(1);
    share.release(2);
    // No target counts as warm: slot 0 of each target, once.
    CHECK(share.take(4, {"t1"}) == "t0");
    CHECK_FALSE(share.take(5, {"t1"}));
    CHECK(share.take(6, {}) == "t1");
}
