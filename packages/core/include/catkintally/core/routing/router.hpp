#pragma once

#include <catkintally/core/table/table_snapshot.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace catkintally::core
{

/// Finds the route of a request in one table revision. Each revision needs a new router.
class router
{
public:
    /// Creates a router over an empty table, which finds no route.
    router();
    explicit router(std::shared_ptr<const table_snapshot> table);

    /// Returns the route for a Host header (port and letter case are ignored) and a path without
    /// query, or nullptr if there is none. Routes of the exact host precede routes of any host;
    /// among them, the longest prefix of whole path segments wins. The result is valid for the
    /// lifetime of the router.
    [[nodiscard]] const route_row* find(std::string_view host, std::string_view path) const;

    /// Returns the service with this name, or nullptr. The result is valid for the lifetime of the
    /// table.
    [[nodiscard]] const service_config* service(const std::string& name) const;

    /// The table that the routes come from.
    [[nodiscard]] const std::shared_ptr<const table_snapshot>& table() const { return table_; }

private:
    struct entry
    {
        route_row route;
        /// The path must begin with the exact prefix, including a trailing slash.
        bool literal = false;
    };
    using prefix_map = std::map<std::string, entry, std::less<>>;

    std::shared_ptr<const table_snapshot> table_;
    std::map<std::string, prefix_map, std::less<>> prefixes_by_host_;
};

/// Returns the Host header in lower case, without port and trailing dot.
[[nodiscard]] std::string normalized_host(std::string_view host);

} // namespace catkintally::core
