#include <catkintally/core/admission/target_estimate.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Share of busy slots above which a target counts as nearly full. Nearly full targets are often
/// slower.
constexpr double nearly_full = 0.8;
/// Factor on the time of a request at a nearly full target. An overestimate is harmless: it only
/// favours less loaded targets.
constexpr double nearly_full_factor = 1.5;

/// A cold target is assumed to take twice the usual time.
constexpr double cold_factor = 2.0;

/// A request to another failure domain takes a longer network path and adds to the operators'
/// traffic, so a target there must be faster by this factor.
constexpr double remote_factor = 1.15;

} // namespace

target_estimate estimate(const target_estimate_inputs& inputs)
{
    const double slots = std::max(inputs.load.slots > 0 ? inputs.load.slots : inputs.slots, 1U);
    const double ahead =
        static_cast<double>(inputs.load.running) + inputs.load.queued + inputs.sent_since_report;
    target_estimate result;
    result.free = ahead < slots;
    result.free_slots = static_cast<std::uint32_t>(std::max(0.0, slots - ahead));
    result.waiting = static_cast<std::uint32_t>(std::max(0.0, ahead - slots));

    // Every `slots` requests ahead take about one usual service time.
    double time = inputs.load.slowdown;
    time *= (ahead + 1) / slots > nearly_full ? nearly_full_factor : 1;
    time *= 1 + std::max(0.0, ahead + 1 - slots) / slots;
    time *= inputs.cold ? cold_factor : 1;
    time *= inputs.remote ? remote_factor : 1;
    result.relative_time = time;
    return result;
}

} // namespace catkintally::core
