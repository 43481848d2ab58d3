#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::core
{

/// What happened in the fleet. The entry package maps each value to a numbered log event.
enum class fleet_event : std::uint8_t
{
    /// A newer view is in force here.
    view_adopted,
    /// This instance was removed from the view and joins again as a new incarnation.
    rejoining,
    /// This instance proposes a view without suspected members.
    members_suspected,
    /// A stored or received view could not be parsed.
    view_invalid,
    /// A service's state is rebuilt after an epoch change.
    recovery_started,
    /// The service grants again.
    recovery_finished,
    /// Recovery could not prove the idempotency records of a service complete.
    records_unproven,
    /// Owner and witness hold the complete record set.
    records_complete,
    /// This instance refuses new work because its information may be out of date.
    not_fresh,
    /// This instance has current information again.
    fresh
};

/// Hook for numbered events: the event and its fields.
using fleet_event_hook = std::function<void(
    fleet_event, const std::vector<std::pair<std::string, std::string>>& fields)>;

} // namespace catkintally::core
