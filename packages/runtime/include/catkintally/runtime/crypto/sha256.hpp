#pragma once

#include <string>
#include <string_view>

namespace catkintally::runtime
{

/// Returns the SHA-256 digest of a text: 32 bytes.
[[nodiscard]] std::string sha256(std::string_view text);

} // namespace catkintally::runtime
