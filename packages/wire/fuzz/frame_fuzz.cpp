#include <catkintally/wire/codec/frame_codec.hpp>

#include <boost/leaf.hpp>

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace
{

using namespace catkintally;
namespace leaf = boost::leaf;

void require(bool condition, const char* what)
{
    if (!condition)
    {
        std::fprintf(stderr, "violated: %s\n", what);
        std::abort();
    }
}

/// Receivers use the objects and entries of a message without asking whether they are there.
void check(const wire::payloadUnion& message)
{
    require(message.value != nullptr, "a message has a payload");
    if (const auto* update = message.Asnews_update())
    {
        for (const auto& object : update->objects)
        {
            require(object != nullptr, "an update has its objects");
        }
    }
    if (const auto* status = message.Asreader_word())
    {
        for (const auto& known : status->known)
        {
            require(known != nullptr, "a status has its states");
        }
    }
    if (const auto* limits = message.Aslimit_notice())
    {
        for (const auto& limit : limits->limits)
        {
            require(limit != nullptr, "a notice has its limits");
        }
    }
    if (const auto* sample = message.Aspeer_sample())
    {
        for (const auto& peer : sample->peers)
        {
            require(peer != nullptr, "a sample has its peers");
        }
    }
}

/// Decodes frames until an error or the end of the input.
leaf::result<void> decode_stream(wire::frame_decoder& decoder)
{
    while (true)
    {
        BOOST_LEAF_AUTO(message, decoder.next());
        if (!message)
        {
            return {};
        }
        check(*message);
    }
}

leaf::result<void> decode_envelope(std::span<const std::uint8_t> bytes)
{
    BOOST_LEAF_AUTO(message, wire::frame_decoder::decode_envelope(bytes));
    check(message);
    return {};
}

} // namespace

/// Reads the input as a stream of frames from a neighbour, and as one envelope.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto ignore_errors = [](const leaf::error_info&) {};
    wire::frame_decoder decoder;
    decoder.append({data, size});
    leaf::try_handle_all([&] { return decode_stream(decoder); }, ignore_errors);
    // Aligned, as frame_decoder does it.
    const std::vector<std::uint8_t> aligned(data, data + size);
    leaf::try_handle_all([&] { return decode_envelope(aligned); }, ignore_errors);
    return 0;
}
