#pragma once

#include <catkintally/core/limits/demand_report.hpp>
#include <catkintally/core/limits/limit_share.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace catkintally::core
{

/// Latest demand of each instance for each service, as reported by the instances themselves.
class demand_directory
{
public:
    explicit demand_directory(duration retention = retention_time)
        : retention_(retention)
    {
    }

    /// Records a report. Returns true if it is newer than what was known; it is then passed on.
    bool merge(const demand_report& report, time_point now);

    /// Removes reports that were not renewed for the retention time.
    void remove_expired(time_point now);

    /// Instances that use the service, except those that are leaving.
    [[nodiscard]] const std::vector<instance_demand>& demands(std::uint64_t service) const;

    /// All reports, with their age, to be sent to an instance that starts.
    [[nodiscard]] std::vector<demand_report> all(time_point now) const;

    /// Number of instances with a report that was renewed within `age`.
    [[nodiscard]] std::size_t instances_newer_than(duration age, time_point now) const;

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Long enough to ride out lost or late reports. The share of an instance that was killed is
    /// unused for this long.
    static constexpr duration retention_time = std::chrono::seconds(45);

    /// Reports kept; enough for tens of limited services in the largest planned fleet.
    static constexpr std::size_t max_reports = 65'536;

private:
    /// Service and instance.
    using key = std::pair<std::uint64_t, std::uint64_t>;
    struct entry
    {
        demand_report report;
        time_point reported_at{};
    };

    duration retention_;
    std::map<key, entry> entries_;
    /// Lists returned by demands(), by service; removed when a report of the service changes.
    mutable std::map<std::uint64_t, std::vector<instance_demand>> lists_;
};

} // namespace catkintally::core
