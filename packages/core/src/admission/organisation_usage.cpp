#include <catkintally/core/admission/organisation_usage.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

namespace
{

using std::chrono::seconds;

/// Time constant of recent rates. An organisation that begins to send many times its usual rate is
/// recognised within a second or two.
constexpr duration recent_time = seconds(3);

/// Time constant of usual rates, many times the length of a burst.
constexpr duration usual_time = seconds(120);

/// Time constant of the granted fraction.
constexpr duration decision_time = seconds(5);

/// Requests that count as enough to judge by, after decay.
constexpr double min_requests = 3;

/// Rates relative to quotas differ between organisations on a day without disturbances.
constexpr double tolerated_ratio = 1.25;

/// Callers of one organisation may all use this instance, so that its rate here is high relative to
/// its quota although the fleet's is not. Without the fleet's rate, it must also have grown.
constexpr double surge_factor = 1.5;

/// Usual headroom of a quota, for organisations without one.
constexpr double usual_headroom = 1.6;

/// Rate per second of the events that a decaying sum has counted since `first`.
double rate(const decaying_sum& sum, duration time_constant, time_point first, time_point now)
{
    const std::chrono::duration<double> constant = time_constant;
    const std::chrono::duration<double> observed = std::max<duration>(now - first, seconds(1));
    return sum.at(now) / (constant.count() * (1 - std::exp(-observed / constant)));
}

} // namespace

organisation_usage::usage::usage()
    : recent(recent_time)
    , usual(usual_time)
    , decided(decision_time)
    , granted(decision_time)
{
}

void organisation_usage::apply(const table_snapshot& table)
{
    std::map<std::string, usage> kept;
    for (const organisation_row& each :
         table.organisations.value_or(std::vector<organisation_row>{}))
    {
        auto known = usages_.extract(each.name);
        usage& used =
            known.empty() ? kept[each.name] : kept.insert(std::move(known)).position->second;
        used.quota = each.requests_per_s;
    }
    usages_ = std::move(kept);
}

void organisation_usage::record_request(const std::string& organisation, time_point now)
{
    const auto found = usages_.find(organisation);
    if (found == usages_.end())
    {
        return;
    }
    usage& used = found->second;
    if (used.first_at == time_point{})
    {
        used.first_at = now;
    }
    used.recent.add(1, now);
    used.usual.add(1, now);
}

void organisation_usage::record_decision(
    const std::string& organisation, bool granted, time_point now)
{
    const auto found = usages_.find(organisation);
    if (found != usages_.end())
    {
        found->second.decided.add(1, now);
        found->second.granted.add(granted ? 1 : 0, now);
    }
}

organisation_usage::comparison organisation_usage::compare(
    const std::string& organisation, const usage& used, time_point now) const
{
    comparison result;
    const auto known = fleet_rate_ ? fleet_rate_(organisation) : std::nullopt;
    result.fleet_wide = known.has_value();
    result.rate = known.value_or(rate(used.recent, recent_time, used.first_at, now));
    result.reference = used.quota > 0
                           ? used.quota
                           : usual_headroom * rate(used.usual, usual_time, used.first_at, now);
    return result;
}

double organisation_usage::excess(const std::string& organisation, time_point now) const
{
    const auto found = usages_.find(organisation);
    if (found == usages_.end() || found->second.recent.at(now) < min_requests)
    {
        return 0;
    }
    const comparison own = compare(organisation, found->second, now);
    const double usual = rate(found->second.usual, usual_time, found->second.first_at, now);
    if (!own.fleet_wide && own.rate < surge_factor * usual)
    {
        return 0;
    }
    double others_rate = 0;
    double others_reference = 0;
    for (const auto& [name, used] : usages_)
    {
        if (name != organisation && used.recent.at(now) > 0.1)
        {
            const comparison other = compare(name, used, now);
            others_rate += other.rate;
            others_reference += other.reference;
        }
    }
    if (others_rate <= 0 || others_reference <= 0 || own.reference <= 0)
    {
        return 0;
    }
    const double fair_rate = tolerated_ratio * own.reference * others_rate / others_reference;
    return std::max(0.0, 1 - fair_rate / own.rate);
}

std::optional<double>
organisation_usage::served_fraction(const std::string& organisation, time_point now) const
{
    const auto found = usages_.find(organisation);
    if (found == usages_.end() || found->second.decided.at(now) < min_requests)
    {
        return std::nullopt;
    }
    return found->second.granted.at(now) / found->second.decided.at(now);
}

} // namespace catkintally::core
