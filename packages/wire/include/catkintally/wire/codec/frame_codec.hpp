#pragma once

#include <catkintally/wire/codec/frame_error.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace catkintally::wire
{

/// Bytes of the little-endian length field in front of each envelope.
inline constexpr std::size_t frame_header_bytes = 4;

/// Set in the length field of an envelope that compress() has shortened.
inline constexpr std::size_t compressed_flag = std::size_t{1} << 31;

/// A number as a little-endian field of frame_header_bytes.
[[nodiscard]] std::string length_field(std::size_t number);

/// Reverses length_field().
[[nodiscard]] std::size_t read_length(std::span<const std::uint8_t, frame_header_bytes> field);

/// Limit of one envelope, also after it is expanded. It holds a full idempotency table of one
/// service in one recover_reply.
inline constexpr std::size_t max_envelope_bytes = std::size_t{4} << 20;

/// Serialises one message as length field and envelope, compressed if it is large. Fails with
/// frame_error::too_large.
[[nodiscard]] boost::leaf::result<std::string> encode_frame(const payloadUnion& message);

/// Cuts frames out of a byte stream and verifies them. Use one decoder per connection and stop
/// reading the connection after the first error, because the stream has lost its framing.
class frame_decoder
{
public:
    /// Smaller limits apply before a peer has authenticated itself.
    explicit frame_decoder(std::size_t limit = max_envelope_bytes)
        : limit_(limit)
    {
    }

    /// Replaces the size limit for the following frames.
    void set_limit(std::size_t limit) { limit_ = limit; }

    /// Number of bytes that the next frame occupies including its header, once `header` is known.
    [[nodiscard]] boost::leaf::result<std::size_t>
    frame_size(std::span<const std::uint8_t, frame_header_bytes> header) const;

    /// Verifies and unpacks the envelope of one whole frame without its header.
    [[nodiscard]] static boost::leaf::result<payloadUnion>
    decode_envelope(std::span<const std::uint8_t> envelope_bytes);

    /// Appends received bytes.
    void append(std::span<const std::uint8_t> bytes);

    /// Next whole message, nullopt when more bytes are needed.
    [[nodiscard]] boost::leaf::result<std::optional<payloadUnion>> next();

private:
    std::size_t limit_;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace catkintally::wire
