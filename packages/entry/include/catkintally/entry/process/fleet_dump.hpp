#pragma once

#include <catkintally/core/fleet/fleet_node.hpp>

#include <boost/json.hpp>

namespace catkintally::entry
{

/// State of this instance's part in the fleet, for the dump.
[[nodiscard]] boost::json::value to_json(const core::fleet_node_dump& dump);

/// State of a service that this instance owns.
[[nodiscard]] boost::json::value to_json(const core::service_owner_dump& dump);

} // namespace catkintally::entry
