#pragma once

#include <cstdint>

namespace catkintally::wire
{

/// Why a received frame was refused. Loaded into LEAF errors by frame_codec.
enum class frame_error : std::uint8_t
{
    /// The length field exceeds the limit of 4 MB, or an envelope to send would.
    too_large,
    /// The length field is zero.
    empty,
    /// The bytes are not a valid envelope of the schema.
    malformed,
    /// The envelope has no payload, or one that this version does not know.
    unknown_payload
};

/// Name of the error for log fields.
[[nodiscard]] constexpr const char* frame_error_name(frame_error error)
{
    switch (error)
    {
    case frame_error::too_large:
        return "too_large";
    case frame_error::empty:
        return "empty";
    case frame_error::malformed:
        return "malformed";
    case frame_error::unknown_payload:
        return "unknown_payload";
    }
    return "unknown";
}

} // namespace catkintally::wire
