#pragma once

#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/entry/http/http_head.hpp>

#include <optional>

namespace catkintally::entry
{

/// Parses the field "catkintally-load: running=N queued=N phase=cold|warm|draining". Returns
/// nullopt if the field is missing or has no valid parameter; unknown parameters are ignored.
[[nodiscard]] std::optional<core::load_report> parse_load_field(const header_list& fields);

} // namespace catkintally::entry
