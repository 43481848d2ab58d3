#pragma once

#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/entry/http/http_head.hpp>

#include <optional>

namespace catkintally::entry
{

/// Reads "catkintally-load: running=N queued=N phase=cold|warm|draining". Nothing if the field is
/// missing or has no readable part; unknown parts are ignored.
[[nodiscard]] std::optional<core::load_report> load_of(const header_list& fields);

} // namespace catkintally::entry
