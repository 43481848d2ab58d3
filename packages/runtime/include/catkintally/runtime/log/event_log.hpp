#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace catkintally::runtime
{

/// Every numbered log event; docs/events.md explains each one.
enum class event_id : std::uint16_t
{
// NOLINTNEXTLINE(bugprone-macro-parentheses): an enumerator cannot stand in parentheses.
#define CATKINTALLY_EVENT(number, name, severity) name = number,
#include <catkintally/runtime/log/event_table.inc>
#undef CATKINTALLY_EVENT
};

/// Name of the event as in the catalogue.
[[nodiscard]] std::string_view event_name(event_id id);

/// One field of an event: name and value.
using event_field = std::pair<std::string_view, std::string>;

/// Writes one line "SEVERITY MONTHDAY TIME NUMBER name field=value ..." to standard output, through
/// glog at the severity of the catalogue. Never blocks; see log_output for the bounds.
void log_event(event_id id, std::initializer_list<event_field> fields = {});

} // namespace catkintally::runtime
