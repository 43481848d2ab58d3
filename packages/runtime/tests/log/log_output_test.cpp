#include <catkintally/runtime/log/log_output.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkintally::runtime;

namespace
{

struct output_fixture
{
    explicit output_fixture(std::uint32_t lines_per_s = 10)
        : output(
              {.lines_per_s = lines_per_s,
               .max_waiting_bytes = 100,
               .now = [this] { return now; },
               .write =
                   [this](std::string_view bytes)
               {
                   const auto part = bytes.substr(0, room);
                   written += part;
                   room -= part.size();
                   return part.size();
               }})
    {
    }

    [[nodiscard]] std::ptrdiff_t lines() const
    {
        return std::count(written.begin(), written.end(), '\n');
    }

    double now = 0;
    std::size_t room = 1'000'000;
    std::string written;
    log_output output;
};

} // namespace

// Guards against a burst of requests that turns into a burst of log lines, and against warnings
// that get lost in it.
TEST_CASE("usual lines are bounded a second, and the loss is reported")
{
    output_fixture fixture;
    for (int line = 0; line < 50; ++line)
    {
        fixture.output.write("usual", false);
        fixture.output.write("warning", true);
    }
    CHECK(fixture.lines() == 10 + 50);
    CHECK(fixture.output.dropped() == 40);
    fixture.now = 1.5;
    fixture.output.write("later", false);
    CHECK(fixture.written.find("log_lines_dropped dropped=40\nlater\n") != std::string::npos);
}

// Guards against a process that stops because nobody reads its log, and against lines that are torn
// when the reader comes back.
TEST_CASE("a reader that does not read costs lines, not time")
{
    output_fixture fixture(1'000);
    fixture.room = 7;
    for (int line = 0; line < 100; ++line)
    {
        fixture.output.write("0123456789", true);
    }
    CHECK(fixture.written == "0123456");
    CHECK(fixture.output.dropped() > 80);
    fixture.room = 1'000;
    fixture.now = 2;
    fixture.output.write("back", true);
    CHECK(fixture.written.starts_with("0123456789\n0123456789\n"));
    CHECK(fixture.written.find("log_lines_dropped") != std::string::npos);
    CHECK(fixture.written.ends_with("\nback\n"));
}
