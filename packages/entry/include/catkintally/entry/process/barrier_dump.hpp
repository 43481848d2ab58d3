#pragma once

#include <catkintally/core/admission/target_barriers.hpp>

#include <boost/json.hpp>

#include <vector>

namespace catkintally::entry
{

/// Array of objects with service, target, reason, and the milliseconds left (null: until the target
/// starts again).
[[nodiscard]] boost::json::value
to_json(const std::vector<core::target_barrier_dump>& barriers, core::time_point now);

} // namespace catkintally::entry
