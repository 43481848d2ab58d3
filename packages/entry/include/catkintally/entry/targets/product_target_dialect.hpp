#pragma once

#include <catkintally/core/targets/target_dialect.hpp>

namespace catkintally::entry
{

/// The product's own conventions, for targets that are not behind a hosting platform.
[[nodiscard]] core::target_dialect product_target_dialect();

} // namespace catkintally::entry
