#include <catkintally/core/limits/demand_directory.hpp>

#include <algorithm>
#include <functional>
#include <set>

namespace catkintally::core
{

std::uint64_t name_hash(std::string_view name)
{
    return std::hash<std::string_view>()(name);
}

bool demand_directory::merge(const demand_report& report, time_point now)
{
    const time_point reported_at = now - report.age;
    if (report.age >= retention_)
    {
        return false;
    }
    const key name(report.service, report.instance);
    const auto found = entries_.find(name);
    if (found == entries_.end() && entries_.size() >= max_reports)
    {
        return false;
    }
    if (found != entries_.end())
    {
        // Reports of different incarnations can only be ordered by their age.
        const demand_report& known = found->second.report;
        const bool newer = known.incarnation == report.incarnation
                               ? report.sequence > known.sequence
                               : reported_at > found->second.reported_at;
        if (!newer)
        {
            return false;
        }
    }
    entries_.insert_or_assign(name, entry{.report = report, .reported_at = reported_at});
    lists_.erase(report.service);
    return true;
}

void demand_directory::remove_expired(time_point now)
{
    std::erase_if(
        entries_,
        [&](const auto& each)
        {
            const bool expired = now - each.second.reported_at >= retention_;
            if (expired)
            {
                lists_.erase(each.first.first);
            }
            return expired;
        });
}

const std::vector<instance_demand>& demand_directory::demands(std::uint64_t service) const
{
    const auto cached = lists_.find(service);
    if (cached != lists_.end())
    {
        return cached->second;
    }
    std::vector<instance_demand>& list = lists_[service];
    for (auto at = entries_.lower_bound({service, 0});
         at != entries_.end() && at->first.first == service; ++at)
    {
        const demand_report& report = at->second.report;
        if (report.per_second >= 0)
        {
            list.push_back(
                {.instance = report.instance,
                 .failure_domain = report.failure_domain,
                 .per_second = report.per_second});
        }
    }
    return list;
}

std::size_t demand_directory::instances_newer_than(duration age, time_point now) const
{
    std::set<std::uint64_t> instances;
    for (const auto& [name, each] : entries_)
    {
        if (now - each.reported_at < age)
        {
            instances.insert(name.second);
        }
    }
    return instances.size();
}

std::vector<demand_report> demand_directory::all(time_point now) const
{
    std::vector<demand_report> reports;
    reports.reserve(entries_.size());
    for (const auto& [name, each] : entries_)
    {
        reports.push_back(each.report);
        reports.back().age = now - each.reported_at;
    }
    return reports;
}

} // namespace catkintally::core
