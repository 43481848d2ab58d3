#pragma once

#include <catkintally/wire/codec/frame_error.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace catkintally::wire
{

/// Smaller envelopes are sent as they are: the gain would not pay for the processor time.
inline constexpr std::size_t least_compressed_bytes = 1024;

/// The length of `bytes` (4 bytes, little endian) followed by their zlib stream. Nothing if that is
/// not shorter.
[[nodiscard]] std::optional<std::string> compress(std::span<const std::uint8_t> bytes);

/// Reverses compress(). Fails with frame_error::too_large if the result has more than `limit`
/// bytes, before anything is expanded, and with frame_error::malformed.
[[nodiscard]] boost::leaf::result<std::vector<std::uint8_t>>
decompress(std::span<const std::uint8_t> compressed, std::size_t limit);

} // namespace catkintally::wire
