#include <catkintally/core/admission/service_shortage.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

namespace
{

using std::chrono::seconds;

/// Time constant of the fraction of passes that find no slot. Bursts last for seconds.
constexpr duration pass_time = seconds(1);

/// Passes after decay that are enough to judge by.
constexpr double min_passes = 2;

/// The service becomes short above the first fraction of failed passes and ceases to be short below
/// the second. At 0.7 of the capacity a few passes in a hundred fail by chance.
constexpr double short_level = 0.25;
constexpr double ample_level = 0.1;

/// Time constant of granted fractions.
constexpr duration decision_time = seconds(5);

/// Decisions after decay that are enough to judge by.
constexpr double min_decisions = 3;

/// A priority that was not seen for so long has no effect on others. An instance may see an urgent
/// request only every few seconds.
constexpr duration class_retention = seconds(60);

/// Maximum number of priorities of one service; bounds the memory if priorities vary widely.
constexpr std::size_t max_classes = 16;

/// Fraction of a target's slots that requests of the second rank leave free if no pass finds a
/// slot. It decreases with the fraction of failed passes, so that a service that ceases to be short
/// is not kept short by its own reserve.
constexpr double max_reserved_fraction = 0.5;

/// A priority or organisation whose granted fraction falls below the first part of the service's
/// leaves fewer slots to others, and below the second none. A quarter counts as starved.
constexpr double poor_fraction = 0.5;
constexpr double starving_fraction = 0.3;

/// The refused fraction of a priority is kept above this multiple of that of more urgent ones.
/// Requests with a long objective look for a slot for a long time and would otherwise be served
/// more often than urgent ones.
constexpr double refused_margin = 1.2;

/// The priority leaves one more slot free for each such difference.
constexpr double lead_per_slot = 0.02;

/// Weight of a new work time in the moving average.
constexpr double work_weight = 0.1;

/// Requests that are less urgent and fewer than this fraction of all do not matter.
constexpr double negligible_fraction = 0.1;

std::uint32_t part_of(double slots, double fraction)
{
    return static_cast<std::uint32_t>(std::ceil(slots * std::min(fraction, 1.0)));
}

} // namespace

service_shortage::request_class::request_class()
    : decided(decision_time)
    , granted(decision_time)
{
}

std::optional<double> service_shortage::request_class::served_fraction(time_point now) const
{
    const double all = decided.at(now);
    return all < min_decisions ? std::nullopt : std::optional(granted.at(now) / all);
}

service_shortage::service_shortage()
    : passes_(pass_time)
    , failed_passes_(pass_time)
    , decided_(decision_time)
    , granted_(decision_time)
{
}

service_shortage::request_class& service_shortage::class_of(std::uint32_t priority, time_point now)
{
    if (classes_.size() >= max_classes && !classes_.contains(priority))
    {
        std::erase_if(
            classes_,
            [now](const auto& each) { return each.second.last_seen + class_retention <= now; });
        if (classes_.size() >= max_classes)
        {
            return std::prev(classes_.end())->second;
        }
    }
    return classes_[priority];
}

duration
service_shortage::record_request(std::uint32_t priority, bool has_objective, time_point now)
{
    request_class& own = class_of(priority, now);
    own.last_seen = now;
    own.has_objective = own.has_objective || has_objective;
    return own.work;
}

bool service_shortage::has_objective(std::uint32_t priority) const
{
    const auto found = classes_.find(priority);
    return found != classes_.end() && found->second.has_objective;
}

void service_shortage::record_pass(bool found, time_point now)
{
    passes_.add(1, now);
    failed_passes_.add(found ? 0 : 1, now);
    short_of_slots_ = level(now) >= (short_of_slots_ ? ample_level : short_level);
}

void service_shortage::record_decision(
    std::uint32_t priority, bool excess, bool granted, time_point now)
{
    const double served = granted ? 1 : 0;
    decided_.add(1, now);
    granted_.add(served, now);
    if (!excess)
    {
        request_class& own = class_of(priority, now);
        own.decided.add(1, now);
        own.granted.add(served, now);
    }
}

void service_shortage::record_work(std::uint32_t priority, duration work, bool nearly_full)
{
    const auto known = classes_.find(priority);
    if (known == classes_.end() || work <= duration::zero())
    {
        return;
    }
    duration& average = known->second.work;
    if (average == duration::zero())
    {
        average = work;
    }
    const std::chrono::duration<double> usual = average;
    nearly_full_.add(work / usual, nearly_full);
    average =
        std::chrono::duration_cast<duration>(average * (1 - work_weight) + work * work_weight);
}

double service_shortage::level(time_point now) const
{
    const double passes = passes_.at(now);
    return passes < min_passes ? 0 : failed_passes_.at(now) / passes;
}

bool service_shortage::is_short(time_point now) const
{
    return short_of_slots_ && level(now) >= ample_level;
}

std::uint32_t service_shortage::rank_of(std::uint32_t priority, time_point now) const
{
    const auto more_urgent = std::count_if(
        classes_.begin(), classes_.lower_bound(priority),
        [now](const auto& each) { return each.second.last_seen + class_retention > now; });
    return std::min(static_cast<std::uint32_t>(more_urgent), max_rank);
}

bool service_shortage::is_least_urgent(std::uint32_t priority, time_point now) const
{
    double less_urgent = 0;
    for (auto each = classes_.upper_bound(priority); each != classes_.end(); ++each)
    {
        less_urgent += each->second.decided.at(now);
    }
    return less_urgent <= negligible_fraction * decided_.at(now);
}

double service_shortage::part_kept(std::optional<double> served_fraction, time_point now) const
{
    const double decided = decided_.at(now);
    return decided < min_decisions
               ? 1
               : part_kept(served_fraction.value_or(1), granted_.at(now) / decided);
}

double service_shortage::part_kept(double served_fraction, double reference)
{
    return std::clamp(
        (served_fraction - starving_fraction * reference) /
            std::max((poor_fraction - starving_fraction) * reference, 1e-9),
        0.0, 1.0);
}

std::uint32_t service_shortage::reserve(
    std::uint32_t priority, std::uint32_t rank, std::uint32_t slots, time_point now) const
{
    if (!is_short(now))
    {
        return 0;
    }
    const double shortage = level(now);
    if (rank == 0)
    {
        const bool leaves_slow_slots = nearly_full_.slows_down() && is_least_urgent(priority, now);
        return leaves_slow_slots ? part_of(nearly_full_cost::slow_slots(slots), shortage) : 0;
    }
    std::uint32_t reserve = part_of(max_reserved_fraction * slots, shortage) + rank - 1;
    const auto own = classes_.find(priority);
    if (own != classes_.end())
    {
        const auto served = own->second.served_fraction(now);
        // A priority that is served as often as a more urgent one is not starved, however little
        // that is.
        double reference =
            decided_.at(now) < min_decisions ? 0 : granted_.at(now) / decided_.at(now);
        double lead = 0;
        for (auto each = classes_.begin(); served && each != own; ++each)
        {
            const double served_above = each->second.served_fraction(now).value_or(1);
            reference = std::min(reference, served_above);
            lead = std::max(lead, refused_margin * (1 - served_above) - (1 - *served));
        }
        reserve += static_cast<std::uint32_t>(std::ceil(lead / lead_per_slot));
        reserve = std::min(reserve, slots);
        const double kept = part_kept(served.value_or(1), reference);
        return static_cast<std::uint32_t>(std::floor(reserve * kept));
    }
    return std::min(reserve, slots);
}

shortage_dump
service_shortage::dump(const std::string& service, std::uint32_t slots, time_point now) const
{
    shortage_dump dumped;
    dumped.service = service;
    dumped.short_of_slots = is_short(now);
    dumped.level = level(now);
    dumped.nearly_full_factor = nearly_full_.factor();
    for (const auto& [priority, each] : classes_)
    {
        const std::chrono::duration<double, std::milli> work = each.work;
        dumped.classes.push_back(
            {.priority = priority,
             .decided = each.decided.at(now),
             .served_fraction = each.served_fraction(now).value_or(1),
             .work_ms = work.count(),
             .reserve = reserve(priority, rank_of(priority, now), slots, now)});
    }
    return dumped;
}

} // namespace catkintally::core
