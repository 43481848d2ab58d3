#pragma once

#include <catkintally/core/limits/target_rate_limiter.hpp>

#include <boost/json.hpp>

#include <vector>

namespace catkintally::entry
{

/// Limited targets for the dump: the limit that is believed, since when and from whom, and the part
/// of it that this instance may use.
[[nodiscard]] boost::json::value to_json(const std::vector<core::target_limit_dump>& limits);

} // namespace catkintally::entry
