#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A probing_gateway with targets whose probe reports the test sets. Targets t0, t1, ... are
/// alternately in the failure domains "here" and "there".
struct probing_fixture
{
    explicit probing_fixture(std::size_t count = 4, probing_gateway_options options = {})
    {
        options.timers = &timers;
        options.seed = 7;
        options.failure_domain = "here";
        options.probe = [this](
                            const service_config&, const target_row& target,
                            const std::function<void(probe_report)>& done)
        {
            probed_names.push_back(target.name);
            const auto found = reports.find(target.name);
            if (found == reports.end())
            {
                return;
            }
            timers.schedule_after(
                std::chrono::milliseconds(1), [done, report = found->second] { done(report); });
        };
        options.try_connect =
            [this](const target_row& target, const std::function<void(bool)>& ended)
        {
            if (crashed_targets.contains(target.name))
            {
                timers.schedule_after(std::chrono::milliseconds(1), [ended] { ended(false); });
            }
            else if (reports.contains(target.name))
            {
                timers.schedule_after(std::chrono::milliseconds(1), [ended] { ended(true); });
            }
        };
        options.crashed = [this](const target_crash& crash) { reported_crashes.push_back(crash); };
        options.announce_crash_record = [this](const crash_record& record)
        { announced_records.push_back(record); };
        options.on_decided = [this](const probing_decision& decision)
        { decisions.push_back(decision); };
        probing.emplace(options);
        gateway = probing->gateway();
        table.revision = 1;
        service_config& config = table.services["desk"];
        config.service.name = "desk";
        config.service.retry_budget_percent = 20;
        for (std::size_t number = 0; number < count; ++number)
        {
            target_row row;
            row.name = "t" + std::to_string(number);
            row.address = "10.0.0.1:" + std::to_string(number + 1);
            row.failure_domain = number % 2 == 0 ? "here" : "there";
            config.targets.push_back(row);
            report(row.name);
        }
        apply();
    }

    void apply() { probing->apply(std::make_shared<const table_snapshot>(table)); }

    /// Gives all targets so many slots, in the table and in their reports.
    void set_slots(std::uint32_t slots)
    {
        for (target_row& row : table.services["desk"].targets)
        {
            row.slots = slots;
            report(row.name).load->slots = slots;
        }
        apply();
    }

    /// Sets the probe report of a target from now on.
    probe_report& report(const std::string& name)
    {
        probe_report& out = reports[name];
        out.answered = true;
        out.healthy = true;
        out.name = name;
        out.load = load_report{.slots = 2};
        return out;
    }

    void submit(request_id id, bool retry = false, std::vector<std::string> excluded = {})
    {
        admission_request request;
        request.id = id;
        request.service = "desk";
        request.idempotent = idempotent;
        request.priority = priority;
        request.organisation = organisation;
        request.deadline_left = deadline;
        request.fingerprint = fingerprint;
        request.objective_left = objective;
        request.retry = retry;
        request.excluded_targets = std::move(excluded);
        gateway.ask(
            request, [this, id](admission_answer answer) { answers[id] = std::move(answer); });
    }

    /// Submits a request and advances the time until it is decided.
    admission_answer decide(request_id id, bool retry = false)
    {
        submit(id, retry);
        for (int step = 0; step < 1000 && !answers.contains(id); ++step)
        {
            timers.advance(std::chrono::milliseconds(1));
        }
        REQUIRE(answers.contains(id));
        return answers.at(id);
    }

    void complete(
        request_id id,
        completion_outcome outcome,
        std::uint16_t status = 200,
        const std::function<void(completion_report&)>& adjust = [](completion_report&) {})
    {
        completion_report ended;
        ended.id = id;
        ended.service = "desk";
        ended.target = answers.at(id).target;
        ended.outcome = outcome;
        ended.status = status;
        adjust(ended);
        gateway.complete(ended, nullptr);
    }

    manual_timer_service timers;
    table_snapshot table;
    /// Time that requests have left until their latency objective; zero for none.
    duration objective{};
    duration deadline{};
    bool idempotent = true;
    std::uint32_t priority = 0;
    std::string organisation;
    std::map<std::string, probe_report> reports;
    /// Names of the probed targets, in the order of the probes.
    std::vector<std::string> probed_names;
    /// Targets that accept no new connection.
    std::set<std::string> crashed_targets;
    /// Crashes that the gateway reported for other instances.
    std::vector<target_crash> reported_crashes;
    /// Records of refused requests that the gateway announced to other instances.
    std::vector<crash_record> announced_records;
    std::uint64_t fingerprint = 0;
    std::vector<probing_decision> decisions;
    std::map<request_id, admission_answer> answers;
    std::optional<probing_gateway> probing;
    admission_gateway gateway;
};

} // namespace catkintally::core
