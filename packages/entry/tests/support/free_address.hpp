#pragma once

#include <string>

namespace catkintally::entry
{

/// An address with a port on loopback that was free a moment ago.
[[nodiscard]] std::string free_address();

} // namespace catkintally::entry
