#include <catkintally/core/news/fleet_size_estimator.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace catkintally::core
{

namespace
{

/// A census lasts this long. The smallest values need about one exchange, a second, for each hop;
/// thousands of instances lie within six hops of each other.
constexpr duration census_time = std::chrono::seconds(8);

/// A census that was cut short by a newer one still counts after this time.
constexpr duration least_census_time = std::chrono::seconds(6);

/// The first census has settled when nothing has changed for this long, two exchanges.
constexpr duration settling_time = std::chrono::seconds(2);

/// Values lie between 2^-32 and 2^32 and are kept with a precision of 2^(1/1024).
constexpr double scale = 1024;
constexpr double offset = 32;

std::uint16_t encode(double value)
{
    const double scaled = std::round((std::log2(value) + offset) * scale);
    return static_cast<std::uint16_t>(
        std::clamp(scaled, 0.0, double{std::numeric_limits<std::uint16_t>::max()}));
}

double decode(std::uint16_t value)
{
    return std::exp2(value / scale - offset);
}

std::uint32_t estimate(const sample_minima& minima)
{
    double sum = 0;
    for (const std::uint16_t each : minima)
    {
        sum += decode(each);
    }
    // Unbiased for minima of exponential values.
    return static_cast<std::uint32_t>(std::max(1.0, std::round((samples_per_instance - 1) / sum)));
}

bool merge_minima(sample_minima& own, const sample_minima& other)
{
    bool changed = false;
    for (std::size_t index = 0; index < own.size(); ++index)
    {
        changed = changed || other[index] < own[index];
        own[index] = std::min(own[index], other[index]);
    }
    return changed;
}

/// Takes over results of an instance that has some.
void adopt(std::array<std::uint32_t, 2>& own, const std::array<std::uint32_t, 2>& other)
{
    if (own[0] == 0)
    {
        own = other;
    }
}

void add_result(std::array<std::uint32_t, 2>& results, std::uint32_t found)
{
    results = {found, results[0]};
}

} // namespace

fleet_size_estimator::fleet_size_estimator(fleet_size_estimator_options options)
    : options_(options)
    , random_(options.seed)
{
    assert(options_.timers != nullptr);
    begin(0);
}

sample_minima fleet_size_estimator::draw()
{
    sample_minima values{};
    for (std::uint16_t& each : values)
    {
        // Evenly spread over (0, 1].
        const double drawn = (static_cast<double>(random_.next() >> 11U) + 1) * 0x1.0p-53;
        each = encode(-std::log(drawn) + std::numeric_limits<double>::min());
    }
    return values;
}

void fleet_size_estimator::begin(std::uint64_t epoch)
{
    current_.epoch = epoch;
    current_.all = draw();
    current_.near = current_.all;
    heard_ = false;
    begun_ = options_.timers->now();
    changed_ = begun_;
}

void fleet_size_estimator::finish()
{
    if (heard_ || options_.may_be_only_instance)
    {
        add_result(current_.all_found, estimate(current_.all));
        add_result(current_.near_found, estimate(current_.near));
    }
}

bool fleet_size_estimator::advance()
{
    if (options_.timers->now() - begun_ < census_time)
    {
        return false;
    }
    finish();
    begin(current_.epoch + 1);
    return true;
}

size_estimate_change
fleet_size_estimator::merge(const size_estimate_report& report, bool same_domain)
{
    adopt(current_.all_found, report.all_found);
    if (same_domain)
    {
        adopt(current_.near_found, report.near_found);
    }
    if (report.epoch < current_.epoch)
    {
        return size_estimate_change::nothing;
    }
    const bool newer = report.epoch > current_.epoch;
    if (newer)
    {
        if (options_.timers->now() - begun_ >= least_census_time)
        {
            finish();
        }
        begin(report.epoch);
    }
    heard_ = true;
    const bool all_changed = merge_minima(current_.all, report.all);
    const bool near_changed = same_domain && merge_minima(current_.near, report.near);
    if (all_changed || near_changed)
    {
        changed_ = options_.timers->now();
    }
    return newer                         ? size_estimate_change::epoch
           : all_changed || near_changed ? size_estimate_change::minima
                                         : size_estimate_change::nothing;
}

size_estimate_report fleet_size_estimator::report() const
{
    return current_;
}

std::optional<fleet_size> fleet_size_estimator::size() const
{
    std::uint32_t all = *std::max_element(current_.all_found.begin(), current_.all_found.end());
    std::uint32_t near = *std::max_element(current_.near_found.begin(), current_.near_found.end());
    if (all == 0 || near == 0)
    {
        const bool counted = heard_ || options_.may_be_only_instance;
        if (!counted || options_.timers->now() - changed_ < settling_time)
        {
            return std::nullopt;
        }
        all = std::max(all, estimate(current_.all));
        near = std::max(near, estimate(current_.near));
    }
    return fleet_size{.near = near, .far = all > near ? all - near : 0};
}

} // namespace catkintally::core
