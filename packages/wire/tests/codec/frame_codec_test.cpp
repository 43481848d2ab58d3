#include <catkintally/wire/codec/compression.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace catkintally::wire;
namespace leaf = boost::leaf;

namespace
{

std::string frame_of(std::uint64_t epoch)
{
    heartbeat_data data;
    data.epoch = epoch;
    data.sequence = 7;
    return encode_frame(make_message(data)).value();
}

std::span<const std::uint8_t> bytes_of(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

/// "none" while more bytes are needed, "message", or the name of the error.
std::string next_result(frame_decoder& decoder)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_AUTO(message, decoder.next());
            return std::string(message ? "message" : "none");
        },
        [](frame_error error) { return std::string(frame_error_name(error)); },
        [] { return std::string("unexpected"); });
}

} // namespace

// Guards against losing frames whose bytes arrive in arbitrary pieces.
TEST_CASE("frames survive any split of the byte stream")
{
    const std::string stream = frame_of(1) + frame_of(2) + frame_of(3);
    for (std::size_t piece = 1; piece <= stream.size(); ++piece)
    {
        frame_decoder decoder;
        std::vector<std::uint64_t> epochs;
        for (std::size_t at = 0; at < stream.size(); at += piece)
        {
            decoder.append(bytes_of(stream.substr(at, piece)));
            while (auto message = decoder.next().value())
            {
                epochs.push_back(message->Asheartbeat()->epoch);
            }
        }
        REQUIRE(epochs == std::vector<std::uint64_t>{1, 2, 3});
    }
}

// Guards against hostile or corrupted frames that exhaust memory or reach the decision logic.
TEST_CASE("malformed frames are refused with a typed error")
{
    const std::string whole = frame_of(1);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Createenvelope(builder));
    std::string no_payload(1, static_cast<char>(builder.GetSize()));
    no_payload.append(3, '\0').append(
        reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());

    struct row
    {
        std::string bytes;
        std::string expected;
    };
    const auto test = GENERATE_COPY(values<row>({
        {whole, "message"},
        {whole.substr(0, 3), "none"},
        {whole.substr(0, whole.size() - 1), "none"},
        {std::string(4, '\0'), "empty"},
        {std::string(4, '\xff'), "too_large"},
        {std::string("\x04\0\0\0\xff\xff\xff\xff", 8), "malformed"},
        {std::string("\x01\0\0\0\0", 5), "malformed"},
        {no_payload, "unknown_payload"},
    }));
    frame_decoder decoder;
    decoder.append(bytes_of(test.bytes));
    CHECK(next_result(decoder) == test.expected);
}

// Guards against news of hundreds of targets that cost as much traffic as the requests do, and
// against a change of their bytes.
TEST_CASE("large envelopes are compressed and arrive unchanged")
{
    struct row
    {
        const char* name;
        std::size_t objects;
        bool shorter;
    };
    const auto each = GENERATE(row{"small", 1, false}, row{"large", 400, true});
    INFO(each.name);
    news_update_data data;
    data.prefix = "servers/";
    std::size_t raw = 0;
    for (std::size_t index = 0; index < each.objects; ++index)
    {
        auto object = std::make_unique<news_object_data>();
        object->key = "servers/i-" + std::to_string(index * 7919);
        object->value = R"({"service":"desk","address":"10.0.0.1:80","zone":"a","slots":2})";
        raw += object->key.size() + object->value.size();
        data.objects.push_back(std::move(object));
    }
    const std::string frame = encode_frame(make_message(std::move(data))).value();
    CHECK((frame.size() < raw / 4) == each.shorter);
    frame_decoder decoder;
    decoder.append(bytes_of(frame));
    const auto message = decoder.next().value();
    REQUIRE(message);
    const auto& objects = message->Asnews_update()->objects;
    REQUIRE(objects.size() == each.objects);
    CHECK(objects.back()->key == "servers/i-" + std::to_string((each.objects - 1) * 7919));
}

// Guards against a small frame that expands to more memory than a large one may take, and against
// streams that end early or do not hold what they announce.
TEST_CASE("compressed frames that lie about their content are refused")
{
    const std::vector<std::uint8_t> zeros(8192);
    const std::string good = compress(zeros).value();
    struct row
    {
        const char* name;
        std::string content;
        std::string expected;
    };
    const auto test = GENERATE_COPY(values<row>({
        {"expands beyond the limit", length_field(max_envelope_bytes + 1) + good.substr(4),
         "too_large"},
        {"shorter than announced", length_field(8193) + good.substr(4), "malformed"},
        {"longer than announced", length_field(8191) + good.substr(4), "malformed"},
        {"cut off", good.substr(0, good.size() - 1), "malformed"},
        {"no length", good.substr(0, 3), "malformed"},
        {"no envelope inside", good, "malformed"},
    }));
    INFO(test.name);
    frame_decoder decoder;
    decoder.append(bytes_of(length_field(test.content.size() | compressed_flag) + test.content));
    CHECK(next_result(decoder) == test.expected);
}

// Guards against crashes of the verifier path on corrupted input; seed fixed.
TEST_CASE("corrupted frames never crash the decoder")
{
    std::mt19937 random(20261204);
    const std::string whole = frame_of(99);
    for (int round = 0; round < 20'000; ++round)
    {
        std::string corrupt = whole;
        for (int flips = 0; flips < 3; ++flips)
        {
            corrupt[4 + random() % (corrupt.size() - 4)] = static_cast<char>(random());
        }
        frame_decoder decoder;
        decoder.append(bytes_of(corrupt));
        const std::string result = next_result(decoder);
        REQUIRE(result != "none");
        REQUIRE(result != "unexpected");
    }
}

// Guards against an envelope that a peer would have to refuse.
TEST_CASE("an envelope beyond the limit is not encoded")
{
    answer_reply_data data;
    data.body.resize(max_envelope_bytes + 1);
    const payloadUnion message = make_message(std::move(data));
    CHECK_FALSE(encode_frame(message));
}
