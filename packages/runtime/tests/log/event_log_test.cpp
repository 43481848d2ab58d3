#include <catkintally/runtime/log/event_log.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::runtime;

// Guards against a catalogue entry whose name is lost between the table and the log line.
TEST_CASE("events carry the name of the catalogue")
{
    CHECK(event_name(event_id::process_started) == "process_started");
}
