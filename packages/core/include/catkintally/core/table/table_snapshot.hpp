#pragma once

#include <catkintally/core/table/caller_limits.hpp>
#include <catkintally/core/table/domain_row.hpp>
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

/// A service with its targets: one object in the platform's store.
struct service_config
{
    /// The service's own columns.
    service_row service;
    /// Its targets, in the order of the table.
    std::vector<target_row> targets;
    /// Version of the object in the store.
    std::uint64_t version = 0;

    bool operator==(const service_config&) const = default;
};

/// One checked revision of the whole table. Instances replace it as a whole and only forward.
struct table_snapshot
{
    /// Store version of the newest object in the table.
    std::uint64_t revision = 0;
    /// Services by name.
    std::map<std::string, service_config> services;
    /// Failure domains by name.
    std::map<std::string, domain_row> domains;
    /// Routes beside those that the services' own path prefixes make.
    std::vector<route_row> routes;
    /// Limits on callers. Nothing: those of the settings.
    std::optional<caller_limits> limits;

    /// True if the domain is listed and out. Unlisted domains are in.
    [[nodiscard]] bool is_domain_out(const std::string& domain) const
    {
        const auto found = domains.find(domain);
        return found != domains.end() && found->second.state == domain_state::out;
    }
};

/// The target with this name, or nullptr. Valid as long as the table.
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
