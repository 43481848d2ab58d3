#pragma once

#include <catkintally/core/table/table_snapshot.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace catkintally::core
{

/// Finds the route of a request in one table revision. Build a new one for each revision.
class router
{
public:
    /// An empty table: finds nothing.
    router();
    explicit router(std::shared_ptr<const table_snapshot> table);

    /// The route for a Host header (port and letter case are ignored) and a path without query.
    /// The longest prefix of whole path segments wins; routes of the exact host come before routes
    /// of any host. nullptr if there is none. Valid as long as this object.
    [[nodiscard]] const route_row* find(std::string_view host, std::string_view path) const;

    /// The service with this name, or nullptr. Valid as long as the table.
    [[nodiscard]] const service_config* service(const std::string& name) const;

    /// The table behind this router.
    [[nodiscard]] const std::shared_ptr<const table_snapshot>& table() const { return table_; }

private:
    struct entry
    {
        route_row route;
        /// The path must begin with the prefix as it stands, trailing slash included.
        bool literal = false;
    };
    using prefix_map = std::map<std::string, entry, std::less<>>;

    std::shared_ptr<const table_snapshot> table_;
    std::map<std::string, prefix_map, std::less<>> hosts_;
};

/// Host header without port and trailing dot, in lower case.
[[nodiscard]] std::string normalized_host(std::string_view host);

} // namespace catkintally::core
