#pragma once

#include <catkintally/core/table/caller_limits.hpp>
#include <catkintally/core/table/domain_row.hpp>
#include <catkintally/core/table/organisation_row.hpp>
#include <catkintally/core/table/route_row.hpp>
#include <catkintally/core/table/service_row.hpp>
#include <catkintally/core/table/target_row.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A service with its targets, kept as one object in the platform's store.
struct service_config
{
    service_row service;
    /// Targets of the service, in table order.
    std::vector<target_row> targets;
    /// Version of the object in the store.
    std::uint64_t version = 0;

    bool operator==(const service_config&) const = default;
};

/// One validated revision of the whole table. Instances replace it as a whole, and only by a newer
/// revision.
struct table_snapshot
{
    /// Store version of the newest object in the table.
    std::uint64_t revision = 0;
    /// Services by name.
    std::map<std::string, service_config> services;
    /// Failure domains by name.
    std::map<std::string, domain_row> domains;
    /// Routes in addition to those implied by the services' own path prefixes.
    std::vector<route_row> routes;
    /// Limits on callers. Unset: the limits from the settings apply.
    std::optional<caller_limits> limits;
    /// Organisations whose callers need an API key. Unset: no keys are required.
    std::optional<std::vector<organisation_row>> organisations;

    /// Returns true if the domain is listed with state `out`. Unlisted domains count as `in`.
    [[nodiscard]] bool is_domain_out(const std::string& domain) const
    {
        const auto found = domains.find(domain);
        return found != domains.end() && found->second.state == domain_state::out;
    }
};

/// Returns the target with this name, or nullptr. The pointer is valid as long as the table.
[[nodiscard]] inline const target_row*
find_target(const table_snapshot& table, const std::string& service, const std::string& target)
{
    const auto config = table.services.find(service);
    if (config == table.services.end())
    {
        return nullptr;
    }
    const auto& rows = config->second.targets;
    const auto found = std::find_if(
        rows.begin(), rows.end(), [&](const target_row& row) { return row.name == target; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace catkintally::core
