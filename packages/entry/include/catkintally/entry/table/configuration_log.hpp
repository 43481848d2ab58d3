#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/table/configuration.hpp>

namespace catkintally::entry
{

/// Logs that a configuration has come into force, and which of its organisations cannot be used.
/// `object` is the one that was decoded.
void log_configuration(const core::configuration& configuration, const core::store_object& object);

} // namespace catkintally::entry
