#pragma once

#include <catkintally/wire/codec/frame_error.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace catkintally::wire
{

/// What turns `base` into `value`: a zstd frame with `base` as its prefix and a checksum of
/// `value`. Nothing if it has more than half the bytes of `value`.
[[nodiscard]] std::optional<std::string>
encode_delta(std::string_view base, std::string_view value);

/// Reverses encode_delta(). Fails with frame_error::too_large if the value has more than `limit`
/// bytes, before anything is expanded, and with frame_error::malformed, also if the delta was made
/// from another base.
[[nodiscard]] boost::leaf::result<std::string>
apply_delta(std::string_view base, std::string_view delta, std::size_t limit);

} // namespace catkintally::wire
