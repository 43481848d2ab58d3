#include <catkintally/core/admission/target_estimate.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Targets that are nearly full often work more slowly. Above this share of busy slots...
constexpr double nearly_full = 0.8;
/// ...work is taken to need this much longer. An estimate that is too high only prefers emptier
/// targets.
constexpr double nearly_full_factor = 1.5;

/// A cold target is taken to need twice the usual time.
constexpr double cold_factor = 2.0;

/// Work in another failure domain costs a longer way and the operators' traffic, so a target there
/// must be faster by this factor.
constexpr double remote_factor = 1.15;

} // namespace

target_estimate estimate(const target_estimate_inputs& inputs)
{
    const double slots = std::max(inputs.load.slots > 0 ? inputs.load.slots : inputs.slots, 1U);
    const double ahead =
        static_cast<double>(inputs.load.running) + inputs.load.queued + inputs.sent_since_report;
    target_estimate out;
    out.free = ahead < slots;
    out.waiting = static_cast<std::uint32_t>(std::max(0.0, ahead - slots));

    // Each round of the requests ahead takes about one usual time.
    double time = inputs.load.slowdown;
    time *= (ahead + 1) / slots > nearly_full ? nearly_full_factor : 1;
    time *= 1 + std::max(0.0, ahead + 1 - slots) / slots;
    time *= inputs.cold ? cold_factor : 1;
    time *= inputs.remote ? remote_factor : 1;
    out.relative_time = time;
    return out;
}

} // namespace catkintally::core
