#include <catkintally/bench/policy/workload.hpp>

#include <catkintally/core/admission/split_mix.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace catkintally::bench
{
namespace
{

double uniform(core::split_mix& random)
{
    return (static_cast<double>(random.next() >> 11) + 0.5) / 9007199254740992.0;
}

core::duration exponential(core::split_mix& random, double mean_us)
{
    return core::duration(static_cast<core::duration::rep>(-std::log(uniform(random)) * mean_us));
}

double normal(core::split_mix& random)
{
    const double radius = std::sqrt(-2 * std::log(uniform(random)));
    return radius * std::cos(2 * std::numbers::pi * uniform(random));
}

} // namespace

workload make_workload(const deployment& service, const workload_options& options)
{
    core::split_mix random(options.seed);
    workload made;
    made.length = options.length;
    const core::time_point end = core::time_point{} + options.length;

    const double places = static_cast<double>(service.targets) * service.slots;
    const double gap_us = options.mean_work_us / (places * options.load);
    const double log_mean =
        std::log(options.mean_work_us) - options.log_spread * options.log_spread / 2;
    for (core::time_point at = core::time_point{} + exponential(random, gap_us); at < end;
         at += exponential(random, gap_us))
    {
        const double work = std::exp(log_mean + options.log_spread * normal(random));
        made.arrivals.push_back(
            {.at = at,
             .work =
                 std::min(core::duration(static_cast<core::duration::rep>(work)), options.max_work),
             .instance = static_cast<std::uint32_t>(random.next() % options.instances)});
    }
    for (std::uint32_t target = 0; target < service.targets; ++target)
    {
        std::vector<slow_window> windows;
        const auto gap = static_cast<double>(options.slow_gap.count());
        core::time_point at = core::time_point{} + exponential(random, gap);
        while (at < end)
        {
            windows.push_back({.start = at, .end = at + options.slow_for});
            at += options.slow_for + exponential(random, gap);
        }
        made.windows.push_back(std::move(windows));
    }
    return made;
}

} // namespace catkintally::bench
