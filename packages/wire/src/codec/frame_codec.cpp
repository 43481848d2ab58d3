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
    const std::size_t size = builder.GetSize();
    if (size > max_envelope_bytes)
    {
        return leaf::new_error(frame_error::too_large);
    }
    std::string frame;
    frame.reserve(frame_header_bytes + size);
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
    {
        frame.push_back(static_cast<char>((size >> (8 * i)) & 0xff));
    }
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
    return frame;
}

leaf::result<std::size_t>
frame_decoder::frame_size(std::span<const std::uint8_t, frame_header_bytes> header) const
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
    {
        size |= static_cast<std::size_t>(header[i]) << (8 * i);
    }
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
    BOOST_LEAF_AUTO(
        size,
        frame_size(std::span<const std::uint8_t, frame_header_bytes>(start, frame_header_bytes)));
    if (available < size)
    {
        return std::optional<payloadUnion>{};
    }
    // FlatBuffers needs aligned input; the position within the stream is arbitrary.
    const std::vector<std::uint8_t> aligned(start + frame_header_bytes, start + size);
    consumed_ += size;
    BOOST_LEAF_AUTO(message, decode_envelope(aligned));
    return std::optional<payloadUnion>(std::move(message));
}

} // namespace catkintally::wire
