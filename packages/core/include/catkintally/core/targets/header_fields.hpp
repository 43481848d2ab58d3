#pragma once

#include <catkintally/core/targets/target_dialect.hpp>

#include <string>
#include <string_view>

namespace catkintally::core
{

/// True if the header names are equal, without regard to the case of ASCII letters.
[[nodiscard]] bool is_same_header(std::string_view a, std::string_view b);

/// Value of the first field with this name, or nullptr.
[[nodiscard]] const std::string* find_header(const header_list& fields, std::string_view name);

} // namespace catkintally::core
