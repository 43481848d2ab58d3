#include <catkintally/entry/table/configuration_log.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <string>

namespace catkintally::entry
{

namespace
{

/// Refused organisations that are logged for one configuration.
constexpr std::size_t max_logged = 20;

} // namespace

void log_configuration(const core::configuration& configuration, const core::store_object& object)
{
    const std::string version = std::to_string(configuration.version);
    runtime::log_event(
        runtime::event_id::configuration_applied,
        {{"configuration", version},
         {"store_version", std::to_string(object.version)},
         {"bytes", std::to_string(object.value.size())},
         {"routes", std::to_string(configuration.routes.size())},
         {"services", std::to_string(configuration.services.size())}});
    const auto& refused = configuration.refused_organisations;
    for (std::size_t at = 0; at < std::min(refused.size(), max_logged); ++at)
    {
        runtime::log_event(
            runtime::event_id::organisation_refused, {{"organisation", refused[at].name},
                                                      {"configuration", version},
                                                      {"where", refused[at].where},
                                                      {"expected", refused[at].expected},
                                                      {"refused", std::to_string(refused.size())}});
    }
}

} // namespace catkintally::entry
