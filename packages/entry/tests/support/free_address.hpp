#pragma once

#include <string>

namespace catkintally::entry
{

/// A loopback address (IP:port) whose port was free at the time of the call.
[[nodiscard]] std::string free_address();

} // namespace catkintally::entry
