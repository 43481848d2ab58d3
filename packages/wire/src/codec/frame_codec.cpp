#include <catkintally/wire/codec/compression.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>

#include <boost/leaf/error.hpp>

#include <cassert>
#include <utility>

namespace catkintally::wire
{

namespace leaf = boost::leaf;

leaf::result<std::string> encode_frame(const payloadUnion& message)
{
    assert(message.type != payload::NONE);
    flatbuffers::FlatBufferBuilder builder;
    const auto packed = message.Pack(builder);
    builder.Finish(Createenvelope(builder, message.type, packed));
    const std::span<const std::uint8_t> envelope_bytes(
        builder.GetBufferPointer(), builder.GetSize());
    if (envelope_bytes.size() > max_envelope_bytes)
    {
        return leaf::new_error(frame_error::too_large);
    }
    if (envelope_bytes.size() >= least_compressed_bytes)
    {
        if (const auto shorter = compress(envelope_bytes))
        {
            return length_field(shorter->size() | compressed_flag) + *shorter;
        }
    }
    std::string frame = length_field(envelope_bytes.size());
    frame.append(reinterpret_cast<const char*>(envelope_bytes.data()), envelope_bytes.size());
    return frame;
}

std::string length_field(std::size_t number)
{
    std::string field;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
    {
        field.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
    }
    return field;
}

std::size_t read_length(std::span<const std::uint8_t, frame_header_bytes> field)
{
    std::size_t number = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
    {
        number |= static_cast<std::size_t>(field[i]) << (8 * i);
    }
    return number;
}

leaf::result<std::size_t>
frame_decoder::frame_size(std::span<const std::uint8_t, frame_header_bytes> header) const
{
    const std::size_t size = read_length(header) & ~compressed_flag;
    if (size == 0)
    {
        return leaf::new_error(frame_error::empty);
    }
    if (size > limit_)
    {
        return leaf::new_error(frame_error::too_large);
    }
    return frame_header_bytes + size;
}

leaf::result<payloadUnion>
frame_decoder::decode_envelope(std::span<const std::uint8_t> envelope_bytes)
{
    // The verifier bounds depth and table count, so that a small frame cannot cost much work.
    flatbuffers::Verifier verifier(envelope_bytes.data(), envelope_bytes.size(), 16, 1'000'000);
    if (!verifier.VerifyBuffer<envelope>(nullptr))
    {
        return leaf::new_error(frame_error::malformed);
    }
    const envelope* root = flatbuffers::GetRoot<envelope>(envelope_bytes.data());
    const payload type = root->payload_type();
    if (type == payload::NONE || type > payload::MAX || root->payload() == nullptr)
    {
        return leaf::new_error(frame_error::unknown_payload);
    }
    payloadUnion message;
    message.value = payloadUnion::UnPack(root->payload(), type, nullptr);
    message.type = type;
    return message;
}

void frame_decoder::append(std::span<const std::uint8_t> bytes)
{
    // Consumed bytes are dropped only when they dominate, which keeps appending linear.
    if (consumed_ > buffer_.size() / 2)
    {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    buffer_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

leaf::result<std::optional<payloadUnion>> frame_decoder::next()
{
    const std::size_t available = buffer_.size() - consumed_;
    if (available < frame_header_bytes)
    {
        return std::optional<payloadUnion>{};
    }
    const auto* start = reinterpret_cast<const std::uint8_t*>(buffer_.data()) + consumed_;
    const std::span<const std::uint8_t, frame_header_bytes> header(start, frame_header_bytes);
    BOOST_LEAF_AUTO(size, frame_size(header));
    if (available < size)
    {
        return std::optional<payloadUnion>{};
    }
    // FlatBuffers needs aligned input; the position within the stream is arbitrary.
    std::vector<std::uint8_t> aligned(start + frame_header_bytes, start + size);
    consumed_ += size;
    if ((read_length(header) & compressed_flag) != 0)
    {
        BOOST_LEAF_ASSIGN(aligned, decompress(aligned, limit_));
    }
    BOOST_LEAF_AUTO(message, decode_envelope(aligned));
    return std::optional<payloadUnion>(std::move(message));
}

} // namespace catkintally::wire
