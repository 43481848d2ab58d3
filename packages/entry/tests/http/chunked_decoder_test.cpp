#include <catkintally/entry/http/chunked_decoder.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace catkintally::entry;

// Guards against a chunked body whose end two parsers see at different places. Each body is parsed
// as a whole and byte by byte.
TEST_CASE("chunked bodies are parsed strictly")
{
    struct row
    {
        std::string text;
        bool trailers;
        chunked_decoder_state state;
    };
    const auto sample = GENERATE(values<row>(
        {{"2\r\nab\r\n0\r\n\r\n", false, chunked_decoder_state::done},
         {"0A\r\n0123456789\r\n000\r\n\r\nGET / HTTP/1.1", false, chunked_decoder_state::done},
         {"2\r\nab\r\n0\r\n", false, chunked_decoder_state::more},
         {"2\r\nab", false, chunked_decoder_state::more},
         {"", false, chunked_decoder_state::more},
         {"2\r\nab0\r\n\r\n", false, chunked_decoder_state::malformed},
         {"2\nab\n0\n\n", false, chunked_decoder_state::malformed},
         {"\r\n", false, chunked_decoder_state::malformed},
         {"-1\r\n", false, chunked_decoder_state::malformed},
         {"0x1\r\n", false, chunked_decoder_state::malformed},
         {"1;a=b\r\nx\r\n", false, chunked_decoder_state::malformed},
         {"1000000000000000\r\n", false, chunked_decoder_state::malformed},
         {"11\r\n", false, chunked_decoder_state::too_large},
         {"9\r\n123456789\r\n8\r\n", false, chunked_decoder_state::too_large},
         {"0\r\nA: b\r\n\r\n", true, chunked_decoder_state::done},
         {"0\r\nA: b\r\n", true, chunked_decoder_state::more},
         {"0\r\nA: b\n\r\n", true, chunked_decoder_state::malformed},
         {"0\r\nA: b\r\n\r\n", false, chunked_decoder_state::malformed},
         {"0\r\n" + std::string(9'000, 'x'), true, chunked_decoder_state::malformed}}));
    INFO(sample.text.substr(0, 60));
    chunked_decoder whole(16, sample.trailers);
    CHECK(whole.decode(sample.text) == sample.state);
    chunked_decoder bytewise(16, sample.trailers);
    chunked_decoder_state last = chunked_decoder_state::more;
    for (const char c : sample.text)
    {
        last = bytewise.decode(std::string(1, c));
    }
    CHECK(last == sample.state);
}

// Guards against data that is lost between segments, and against bytes of the next message that are
// consumed as part of this one.
TEST_CASE("the data of a chunked body is kept and what follows is left")
{
    const std::string body = "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n";
    const std::size_t step = GENERATE(1, 4, 100);
    chunked_decoder decoder(16, false);
    const std::string text = body + "GET /";
    std::size_t total_consumed = 0;
    chunked_decoder_state state = chunked_decoder_state::more;
    while (state == chunked_decoder_state::more)
    {
        state = decoder.decode(std::string_view(text).substr(total_consumed, step));
        total_consumed += decoder.consumed();
    }
    CHECK(state == chunked_decoder_state::done);
    CHECK(total_consumed == body.size());
    CHECK(decoder.take_data() == "abcde");
}
