#include <catkintally/entry/http/chunk_scanner.hpp>

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
        chunk_state state;
    };
    const auto sample = GENERATE(values<row>(
        {{"2\r\nab\r\n0\r\n\r\n", false, chunk_state::done},
         {"0A\r\n0123456789\r\n000\r\n\r\nGET / HTTP/1.1", false, chunk_state::done},
         {"2\r\nab\r\n0\r\n", false, chunk_state::more},
         {"2\r\nab", false, chunk_state::more},
         {"", false, chunk_state::more},
         {"2\r\nab0\r\n\r\n", false, chunk_state::malformed},
         {"2\nab\n0\n\n", false, chunk_state::malformed},
         {"\r\n", false, chunk_state::malformed},
         {"-1\r\n", false, chunk_state::malformed},
         {"0x1\r\n", false, chunk_state::malformed},
         {"1;a=b\r\nx\r\n", false, chunk_state::malformed},
         {"1000000000000000\r\n", false, chunk_state::malformed},
         {"11\r\n", false, chunk_state::too_large},
         {"9\r\n123456789\r\n8\r\n", false, chunk_state::too_large},
         {"0\r\nA: b\r\n\r\n", true, chunk_state::done},
         {"0\r\nA: b\r\n", true, chunk_state::more},
         {"0\r\nA: b\n\r\n", true, chunk_state::malformed},
         {"0\r\nA: b\r\n\r\n", false, chunk_state::malformed},
         {"0\r\n" + std::string(9'000, 'x'), true, chunk_state::malformed}}));
    INFO(sample.text.substr(0, 60));
    chunk_scanner whole(16, sample.trailers);
    CHECK(whole.scan(sample.text) == sample.state);
    chunk_scanner bytewise(16, sample.trailers);
    chunk_state last = chunk_state::more;
    for (const char c : sample.text)
    {
        last = bytewise.scan(std::string(1, c));
    }
    CHECK(last == sample.state);
}

// Guards against data that is lost between segments, and against bytes of the next message that are
// consumed as part of this one.
TEST_CASE("the data of a chunked body is kept and what follows is left")
{
    const std::string body = "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n";
    const std::size_t step = GENERATE(1, 4, 100);
    chunk_scanner scanner(16, false);
    const std::string text = body + "GET /";
    std::size_t total_consumed = 0;
    chunk_state state = chunk_state::more;
    while (state == chunk_state::more)
    {
        state = scanner.scan(std::string_view(text).substr(total_consumed, step));
        total_consumed += scanner.used();
    }
    CHECK(state == chunk_state::done);
    CHECK(total_consumed == body.size());
    CHECK(scanner.take_data() == "abcde");
}
