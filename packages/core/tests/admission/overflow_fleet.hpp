#pragma once

#include "overflow_totals.hpp"

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkintally::core
{

/// How an overflow_fleet is built.
struct overflow_fleet_options
{
    std::size_t instances = 120;
    std::size_t targets_per_domain = 12;
    /// Requests per second of the callers of each domain.
    std::array<double, 4> requests_per_s{};
    overflow_settings overflow{};
    /// Size of requests and responses together, in kilobytes.
    double kilobytes = 4;
    std::uint64_t seed = 1;
};

/// Instances with the real admission code in four failure domains, one service, and targets of six
/// slots with a queue of twelve, in virtual time. A target is 1.7 times slower with more than 0.8
/// of its slots in use, and 5 times slower for 30 % of the time, in spans of 150 ms. Callers come
/// back once when they are refused.
class overflow_fleet
{
public:
    explicit overflow_fleet(overflow_fleet_options options);
    ~overflow_fleet();
    overflow_fleet(const overflow_fleet&) = delete;
    overflow_fleet& operator=(const overflow_fleet&) = delete;

    void run(duration span);

    void set_rate(std::size_t domain, double requests_per_s);
    void evacuate(std::size_t domain, bool out);
    /// Factor on the time of all work that starts in the domain from now on.
    void set_speed(std::size_t domain, double slowdown) { domain_slowdown_[domain] = slowdown; }
    /// All targets of the domain start again and are cold for three seconds.
    void restart_targets(std::size_t domain);

    /// Totals of the requests that were sent since the last reset.
    [[nodiscard]] overflow_totals total(std::size_t domain) const { return totals_[domain]; }
    [[nodiscard]] overflow_totals total() const;
    void reset_totals()
    {
        totals_ = {};
        ++resets_;
    }

    /// Mean fraction of first rounds that the instances of a domain send elsewhere.
    [[nodiscard]] double fraction(std::size_t domain) const;

    /// Part of the requests granted elsewhere, in each complete second since the start.
    [[nodiscard]] std::vector<double> elsewhere_by_second(std::size_t domain) const;

    /// Most requests that a cold target got in one second.
    [[nodiscard]] std::size_t most_at_cold_target() const;

    /// Requests that reached targets in the domain since its last change.
    [[nodiscard]] std::size_t arrivals(std::size_t domain) const;

    manual_timer_service timers;

private:
    struct simulated_target
    {
        std::size_t domain = 0;
        std::uint32_t running = 0;
        std::vector<std::function<void()>> queue{};
        std::uint64_t phase = 0;
        std::uint64_t incarnation = 1;
        time_point cold_until{};
        std::vector<time_point> cold_arrivals{};
        std::size_t arrivals = 0;
    };
    struct simulated_instance
    {
        std::size_t domain = 0;
        std::unique_ptr<probing_gateway> probing;
        admission_gateway gateway;
    };
    struct call
    {
        std::size_t domain = 0;
        time_point since{};
        bool retry = false;
        /// Number of resets before the call.
        std::size_t resets = 0;
    };
    struct second_counts
    {
        std::size_t granted = 0;
        std::size_t elsewhere = 0;
    };

    void add_instance(std::size_t number);
    void apply_table();
    void schedule_call(std::size_t domain);
    void send(const call& current);
    void on_decision(
        std::size_t instance, request_id id, const call& current, const admission_answer& answer);
    void arrive(std::size_t target, const std::function<void(duration)>& ended);
    void start(std::size_t target, std::function<void(duration)> ended);
    [[nodiscard]] double slowdown(const simulated_target& target) const;
    [[nodiscard]] probe_report report_of(const simulated_target& target) const;
    [[nodiscard]] duration path(std::size_t from, std::size_t to) const;
    [[nodiscard]] double uniform();

    overflow_fleet_options options_;
    split_mix random_;
    table_snapshot table_;
    std::vector<simulated_target> targets_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::array<double, 4> rates_{};
    std::array<double, 4> domain_slowdown_{1, 1, 1, 1};
    std::array<overflow_totals, 4> totals_{};
    std::array<std::vector<second_counts>, 4> seconds_{};
    std::size_t resets_ = 0;
    request_id next_request_ = 1;
};

} // namespace catkintally::core
