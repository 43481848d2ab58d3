#pragma once

#include <catkintally/core/organisations/organisation_directory.hpp>

#include <boost/json.hpp>

namespace catkintally::entry
{

/// The organisations in force as printed in the dump: names, numbers of keys, priorities and
/// quotas. Neither keys nor their digests. Null if no keys are required.
[[nodiscard]] boost::json::value to_json(const core::organisation_directory& organisations);

} // namespace catkintally::entry
