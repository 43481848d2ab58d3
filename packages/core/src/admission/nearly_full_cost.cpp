#include <catkintally/core/admission/nearly_full_cost.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

namespace
{

/// Fraction of busy slots above which targets are often slower.
constexpr double efficient_fraction = 0.8;

/// Factor assumed while it is unknown.
constexpr double assumed_factor = 1.5;

/// Factor from which on the last slots are left free. They then add less throughput than they cost
/// in responses that are late.
constexpr double min_factor = 1.2;

/// Requests of each kind that are enough to judge by; the times of single requests vary widely.
constexpr std::uint32_t min_count = 20;

} // namespace

bool nearly_full_cost::is_nearly_full(std::uint32_t requests, std::uint32_t slots)
{
    return requests > efficient_fraction * slots;
}

std::uint32_t nearly_full_cost::slow_slots(std::uint32_t slots)
{
    return slots - static_cast<std::uint32_t>(std::floor(efficient_fraction * slots));
}

void nearly_full_cost::average::add(double added)
{
    // The first values count equally.
    constexpr double min_weight = 0.02;
    ++count;
    value += (added - value) * std::max(min_weight, 1.0 / count);
}

void nearly_full_cost::add(double relative_work, bool nearly_full)
{
    (nearly_full ? nearly_full_ : others_).add(relative_work);
}

double nearly_full_cost::factor() const
{
    const bool known =
        nearly_full_.count >= min_count && others_.count >= min_count && others_.value > 0;
    return known ? nearly_full_.value / others_.value : assumed_factor;
}

bool nearly_full_cost::slows_down() const
{
    return factor() >= min_factor;
}

} // namespace catkintally::core
