#pragma once

#include <catkintally/core/fleet/fleet_event.hpp>

namespace catkintally::entry
{

/// Writes an event of a fleet_node to the event log, with the first four of its fields. Use it as
/// the event callback of a fleet_node.
void log_fleet_event(
    core::fleet_event event, const std::vector<std::pair<std::string, std::string>>& fields);

} // namespace catkintally::entry
