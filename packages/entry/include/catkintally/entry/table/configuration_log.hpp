#pragma once

#include <catkintally/core/table/configuration.hpp>

#include <cstdint>

namespace catkintally::entry
{

/// Logs that a configuration has come into force, and which of its organisations cannot be used.
/// `store_version` is the version of its object.
void log_configuration(const core::configuration& configuration, std::uint64_t store_version);

} // namespace catkintally::entry
