#include <catkintally/entry/peers/fleet_event_log.hpp>

#include <catkintally/runtime/log/event_log.hpp>

namespace catkintally::entry
{

namespace
{

using runtime::event_id;

event_id event_id_of(core::fleet_event event)
{
    switch (event)
    {
    case core::fleet_event::view_adopted:
        return event_id::view_adopted;
    case core::fleet_event::rejoining:
        return event_id::rejoining;
    case core::fleet_event::members_suspected:
        return event_id::members_suspected;
    case core::fleet_event::view_invalid:
        return event_id::view_invalid;
    case core::fleet_event::recovery_started:
        return event_id::recovery_started;
    case core::fleet_event::recovery_finished:
        return event_id::recovery_finished;
    case core::fleet_event::records_unproven:
        return event_id::records_unproven;
    case core::fleet_event::records_complete:
        return event_id::records_complete;
    case core::fleet_event::not_fresh:
        return event_id::information_stale;
    case core::fleet_event::fresh:
        return event_id::information_fresh;
    }
    return event_id::view_invalid;
}

} // namespace

void log_fleet_event(
    core::fleet_event event, const std::vector<std::pair<std::string, std::string>>& fields)
{
    const event_id id = event_id_of(event);
    switch (fields.size())
    {
    case 0:
        runtime::log_event(id);
        break;
    case 1:
        runtime::log_event(id, {fields[0]});
        break;
    case 2:
        runtime::log_event(id, {fields[0], fields[1]});
        break;
    case 3:
        runtime::log_event(id, {fields[0], fields[1], fields[2]});
        break;
    default:
        runtime::log_event(id, {fields[0], fields[1], fields[2], fields[3]});
        break;
    }
}

} // namespace catkintally::entry
