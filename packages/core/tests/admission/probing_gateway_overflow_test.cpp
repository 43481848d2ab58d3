#include "probing_fixture.hpp"

#include <algorithm>
#include <cstdint>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Digest of the decisions for 400 requests at 48 targets whose load changes at random.
std::uint64_t decisions_digest(std::uint32_t slots, overflow_settings overflow)
{
    // Only the overflow is compared; the shortage policy applies to many slots by default.
    probing_fixture fixture(48, {.shortage_min_slots = 1'000, .overflow = overflow});
    fixture.objective = 800ms;
    split_mix random(11);
    for (target_row& each : fixture.table.services["desk"].targets)
    {
        each.slots = slots;
    }
    fixture.apply();
    for (request_id id = 1; id <= 400; ++id)
    {
        for (auto& [name, report] : fixture.reports)
        {
            const std::uint64_t free = random.next() % 8 == 0 ? 1 + random.next() % slots : 0;
            report.load = load_report{
                .running = static_cast<std::uint32_t>(slots - free),
                .slots = slots,
                .slowdown = random.next() % 10 < 3 ? 5.0 : 1.0};
        }
        fixture.submit(id);
        fixture.timers.advance(std::chrono::milliseconds(random.next() % 40));
    }
    fixture.timers.advance(2s);
    std::string text;
    for (const probing_decision& each : fixture.decisions)
    {
        text += std::to_string(static_cast<int>(each.code)) + each.target + '@' +
                std::to_string(each.took.count());
        for (const probed_target& asked : each.asked)
        {
            text += ',' + asked.name;
        }
    }
    std::uint64_t digest = 0xcbf29ce484222325; // FNV-1a
    for (const char each : text)
    {
        digest = (digest ^ static_cast<unsigned char>(each)) * 0x100000001b3;
    }
    return digest;
}

} // namespace

// Guards against deployments that did not ask for the overflow, or whose targets have few slots,
// and are served otherwise than before. The digests were taken before the overflow existed.
TEST_CASE("without overflow the decisions are those of earlier versions")
{
    struct row
    {
        const char* name;
        std::uint32_t slots;
        overflow_settings overflow;
        bool unchanged;
    };
    const std::vector<row> rows = {
        {"few slots, off", 2, {}, true},
        {"few slots, auto", 2, {.enabled = true}, true},
        {"many slots, off", 6, {}, true},
        {"many slots, fewer than the setting", 6, {.enabled = true, .min_slots = 7}, true},
        {"many slots, auto", 6, {.enabled = true}, false}};
    const std::map<std::uint32_t, std::uint64_t> digests = {
        {2, 0xcaadf3b8cb27338b}, {6, 0x881c6ead77ceeeba}};
    for (const row& each : rows)
    {
        INFO(each.name);
        const bool unchanged =
            decisions_digest(each.slots, each.overflow) == digests.at(each.slots);
        CHECK(unchanged == each.unchanged);
    }
}

// Guards against requests that wait at home beside free slots elsewhere, and against ones that
// leave for targets that take no more of them.
TEST_CASE("requests that leave go to warm targets that take work")
{
    probing_fixture fixture(48, {.overflow = {.enabled = true}});
    fixture.objective = 800ms;
    auto& rows = fixture.table.services["desk"].targets;
    for (std::size_t number = 0; number < rows.size(); ++number)
    {
        target_row& each = rows[number];
        each.slots = 6;
        each.incarnation = 1;
        // Of the targets elsewhere, a third each is cold and draining.
        each.warmup_remaining = number % 6 == 1 ? 10s : 0s;
        probe_report& report = fixture.report(each.name);
        report.load = load_report{.running = each.failure_domain == "here" ? 6U : 0U, .slots = 6};
        report.warmup_remaining = each.warmup_remaining;
        each.state = number % 6 == 3 ? target_admin_state::draining : target_admin_state::in;
    }
    fixture.apply();
    for (request_id id = 1; id <= 20; ++id)
    {
        const admission_answer answer = fixture.decide(id);
        CHECK(answer.code == decision_code::granted);
        CHECK(std::stoul(answer.target.substr(1)) % 6 == 5);
        fixture.complete(id, completion_outcome::answered);
    }
    for (const std::string& each : fixture.probed_names)
    {
        CHECK(std::stoul(each.substr(1)) % 6 != 1);
    }
    CHECK(fixture.probing->overflows().at(0).requests == 20);
}
