#pragma once

#include <catkintally/core/admission/service_admission.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <map>

namespace catkintally::core
{

inline completion_report report_of(
    request_id id,
    const std::string& target,
    completion_outcome outcome = completion_outcome::answered,
    std::optional<load_report> load = {})
{
    completion_report report;
    report.id = id;
    report.target = target;
    report.outcome = outcome;
    report.load = load;
    return report;
}

/// One service_admission in virtual time that records its decisions.
struct admission_fixture
{
    manual_timer_service timers;
    service_config config;
    table_snapshot table;
    std::vector<admission_decision> decisions;
    std::vector<std::string> probes;
    /// Targets of the granted requests that have not finished.
    std::map<request_id, std::string> granted;
    service_admission admission;

    /// `count` targets t0, t1, ... in domains d0, d1 in turn.
    explicit admission_fixture(
        std::size_t count,
        std::uint32_t slots = 2,
        std::uint64_t seed = 1,
        const std::function<void(service_row&)>& edit = {})
        : admission(options(seed))
    {
        config.service.name = "paper-stock";
        config.service.probe_budget_per_s = 0;
        if (edit)
        {
            edit(config.service);
        }
        for (std::size_t number = 0; number < count; ++number)
        {
            target_row row;
            row.name = "t" + std::to_string(number);
            row.address = "127.0.0.1:" + std::to_string(9000 + number);
            row.failure_domain = "d" + std::to_string(number % 2);
            row.slots = slots;
            config.targets.push_back(row);
        }
        timers.advance(std::chrono::seconds(10));
        apply();
    }

    service_admission_options options(std::uint64_t seed)
    {
        return {
            .service = "paper-stock",
            .timers = &timers,
            .seed = seed,
            .decide =
                [this](const admission_decision& decision)
            {
                decisions.push_back(decision);
                if (decision.code == decision_code::granted)
                {
                    granted[decision.id] = decision.target;
                }
            },
            .phase_changed = {},
            .probe = [this](const std::string& target) { probes.push_back(target); }};
    }

    void apply() { admission.apply(config, table); }

    void set_domain(const std::string& name, domain_state state)
    {
        table.domains[name] = {.name = name, .state = state};
        apply();
    }

    static admission_request request(
        request_id id, duration deadline = std::chrono::seconds(5), std::uint64_t fingerprint = 0)
    {
        admission_request result;
        result.id = id;
        result.service = "paper-stock";
        result.instance = "i0";
        result.failure_domain = "d0";
        result.fingerprint = fingerprint;
        result.deadline_left = deadline;
        return result;
    }

    /// Submits; true if the request was granted immediately.
    bool submit(const admission_request& submitted)
    {
        admission.submit(submitted);
        return granted.contains(submitted.id);
    }

    bool submit(request_id id) { return submit(request(id)); }

    void complete(
        request_id id,
        completion_outcome outcome = completion_outcome::answered,
        std::optional<load_report> load = {})
    {
        const completion_report report = report_of(id, granted.at(id), outcome, load);
        granted.erase(id);
        admission.complete(report);
    }

    [[nodiscard]] target_dump target(const std::string& name) const
    {
        for (const target_dump& dumped : admission.dump().targets)
        {
            if (dumped.name == name)
            {
                return dumped;
            }
        }
        return {};
    }

    [[nodiscard]] decision_code last_code() const { return decisions.back().code; }

    /// Makes all targets warm and trains the service time model with 10 ms.
    void warm_up(request_id first_id = 1'000'000)
    {
        for (const target_row& row : config.targets)
        {
            admission.restore_phase(row.name, target_phase::warm, row.slots);
        }
        for (request_id id = first_id; id < first_id + 40; ++id)
        {
            submit(id);
            timers.advance(std::chrono::milliseconds(10));
            complete(id);
        }
        decisions.clear();
    }
};

} // namespace catkintally::core
