#include <catkintally/wire/codec/value_delta.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <vector>

using namespace catkintally::wire;

namespace
{

constexpr std::size_t limit = 4 << 20;

std::string random_text(std::size_t bytes, unsigned seed)
{
    std::mt19937 random(seed);
    std::string text;
    for (std::size_t i = 0; i < bytes; ++i)
    {
        text.push_back(static_cast<char>('a' + random() % 26));
    }
    return text;
}

std::optional<frame_error>
error_of(std::string_view base, std::string_view delta, std::size_t most = limit)
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<frame_error>>
        {
            BOOST_LEAF_CHECK(apply_delta(base, delta, most));
            return std::optional<frame_error>();
        },
        [](frame_error error) { return std::optional(error); },
        [] { return std::optional<frame_error>(); });
}

} // namespace

// Guards against a change of a large value that costs as many bytes as the value, and against a
// value that differs from the one that was sent.
TEST_CASE("a delta is as small as the change and restores the value")
{
    const std::string base = random_text(1 << 20, 1);
    struct row
    {
        const char* name;
        std::function<std::string(std::string)> change;
        std::size_t most_bytes;
    };
    const std::vector<row> rows = {
        {"nothing", [](std::string text) { return text; }, 1'000},
        {"both ends and the middle",
         [](std::string text)
         {
             text.front() = text.back() = '1';
             text.insert(text.size() / 2, "inserted");
             return text;
         },
         1'000},
        {"a part moves to the end",
         [](const std::string& text) { return text.substr(300'000) + text.substr(0, 300'000); },
         1'000},
        {"growth by a quarter",
         [](const std::string& text)
         { return text.substr(0, 1'000) + random_text(1 << 18, 2) + text.substr(1'000); },
         1 << 18},
        {"removal", [](const std::string& text) { return text.substr(0, 5); }, 0},
        {"another text", [](const std::string&) { return random_text(1 << 18, 3); }, 0}};
    for (const row& each : rows)
    {
        INFO(each.name);
        const std::string value = each.change(base);
        const auto delta = encode_delta(base, value);
        REQUIRE(delta.has_value() == (each.most_bytes != 0));
        if (delta)
        {
            CHECK(delta->size() <= each.most_bytes);
            CHECK(apply_delta(base, *delta, limit).value() == value);
        }
    }
}

// Guards against a value made from the wrong base, and against a small delta that costs much
// memory.
TEST_CASE("a delta that cannot be applied is refused")
{
    const std::string base = random_text(100'000, 1);
    std::string value = base;
    value[50'000] = '1';
    const std::string delta = encode_delta(base, value).value();
    std::string other_base = base;
    other_base[10] = '2';
    std::string flipped = delta;
    flipped[flipped.size() / 2] = static_cast<char>(flipped[flipped.size() / 2] ^ 1);
    CHECK(error_of(base, delta) == std::nullopt);
    CHECK(error_of(other_base, delta) == frame_error::malformed);
    CHECK(error_of(base.substr(1), delta) == frame_error::malformed);
    CHECK(error_of(base, flipped) == frame_error::malformed);
    CHECK(error_of(base, delta.substr(0, delta.size() - 1)) == frame_error::malformed);
    CHECK(error_of(base, "") == frame_error::malformed);
    CHECK(error_of(base, "no frame") == frame_error::malformed);
    CHECK(error_of(base, delta, value.size() - 1) == frame_error::too_large);
}
