#pragma once

#include <catkintally/core/targets/limit_statement.hpp>
#include <catkintally/core/targets/target_dialect.hpp>

#include <string_view>

namespace catkintally::core
{

/// Reads a rate limit from the header `name`: a decimal number of requests per second without sign
/// or exponent, for example "2.5". Malformed if the number is above 1,000,000, or if the header
/// occurs several times with different values.
[[nodiscard]] limit_statement
parse_limit_statement(const header_list& fields, std::string_view name);

} // namespace catkintally::core
