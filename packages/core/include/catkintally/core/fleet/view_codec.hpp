#pragma once

#include <catkintally/core/fleet/view.hpp>

#include <optional>
#include <string>

namespace catkintally::core
{

/// JSON text of the view as it is kept in the platform's store.
[[nodiscard]] std::string encode_view(const view& source);

/// Parses and checks a stored view. Returns nullopt for anything but a well-formed view with
/// distinct instances and a history that descends without gaps.
[[nodiscard]] std::optional<view> decode_view(const std::string& text);

} // namespace catkintally::core
