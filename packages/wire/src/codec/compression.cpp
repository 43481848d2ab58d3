#include <catkintally/wire/codec/compression.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>

#include <boost/leaf/error.hpp>

#include <zlib.h>

namespace catkintally::wire
{

namespace leaf = boost::leaf;

std::optional<std::string> compress(std::span<const std::uint8_t> bytes)
{
    // The fastest level shortens registrations and configurations to about an eighth; slower ones
    // gain little more.
    uLongf length = compressBound(bytes.size());
    std::string out = length_field(bytes.size());
    out.resize(frame_header_bytes + length);
    const int result = compress2(
        reinterpret_cast<Bytef*>(out.data() + frame_header_bytes), &length, bytes.data(),
        bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK || frame_header_bytes + length >= bytes.size())
    {
        return std::nullopt;
    }
    out.resize(frame_header_bytes + length);
    return out;
}

leaf::result<std::vector<std::uint8_t>>
decompress(std::span<const std::uint8_t> compressed, std::size_t limit)
{
    if (compressed.size() < frame_header_bytes)
    {
        return leaf::new_error(frame_error::malformed);
    }
    const std::size_t expected = read_length(compressed.first<frame_header_bytes>());
    if (expected > limit)
    {
        return leaf::new_error(frame_error::too_large);
    }
    std::vector<std::uint8_t> out(expected);
    uLongf length = expected;
    const auto stream = compressed.subspan(frame_header_bytes);
    const int result = uncompress(out.data(), &length, stream.data(), stream.size());
    if (result != Z_OK || length != expected)
    {
        return leaf::new_error(frame_error::malformed);
    }
    return out;
}

} // namespace catkintally::wire
