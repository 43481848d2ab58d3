#pragma once

#include <catkintally/core/table/table_snapshot.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <string>
#include <vector>

namespace catkintally::bench
{

/// One service of one of the two deployments in design section 1.1.
struct deployment
{
    std::string name;
    core::work_class work = core::work_class::lookup;
    std::uint32_t targets = 8;
    std::uint32_t slots = 2;
    std::uint32_t domains = 4;
};

/// Time during which a target runs at a quarter of its speed.
struct slow_window
{
    core::time_point start{};
    core::time_point end{};
};

/// One request of the workload.
struct arrival
{
    core::time_point at{};
    core::duration work{};
    /// Instance that receives it.
    std::uint32_t instance = 0;
};

/// Arrivals, work and slow windows of one run, drawn before it so that every policy meets the same.
struct workload
{
    std::vector<arrival> arrivals;
    /// By target.
    std::vector<std::vector<slow_window>> windows;
    core::duration length{};
};

/// Fixed inputs of make_workload.
struct workload_options
{
    std::uint64_t seed = 1;
    /// Share of the capacity of all slots at full speed.
    double load = 0.7;
    core::duration length = std::chrono::seconds(60);
    std::uint32_t instances = 13;
    /// Log-normal work: mean 10 ms, median 4.9 ms, 99 % below 79 ms.
    double mean_work_us = 10'000;
    double log_spread = 1.2;
    core::duration max_work = std::chrono::milliseconds(500);
    /// Slowdowns of each target: 4x for 100 ms, every 2 s on average.
    core::duration slow_for = std::chrono::milliseconds(100);
    core::duration slow_gap = std::chrono::seconds(2);
};

/// Draws a workload; the same options give the same workload.
workload make_workload(const deployment& service, const workload_options& options);

} // namespace catkintally::bench
