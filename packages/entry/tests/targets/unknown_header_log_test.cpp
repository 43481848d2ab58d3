#include <catkintally/entry/targets/unknown_header_log.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::entry;
namespace runtime = catkintally::runtime;

// Guards against statements of targets that are ignored without a trace (issue 28).
TEST_CASE("responses with headers that the dialect does not define are counted")
{
    struct row
    {
        const char* name;
        header_list fields;
        std::uint64_t counted;
    };
    const auto sample = GENERATE(values<row>(
        {{"HTTP", {{"Content-Type", "text/plain"}, {"DATE", "now"}}, 0},
         {"dialect", {{"x-load", "1"}}, 0},
         {"unknown", {{"Content-Type", "text/plain"}, {"X-New", "1"}}, 1},
         {"two unknown", {{"X-New", "1"}, {"X-Newer", "1"}}, 1}}));
    INFO(sample.name);
    runtime::metrics_registry metrics;
    unknown_header_log log({"X-Load"}, metrics);
    log.inspect("127.0.0.1:1", sample.fields);
    CHECK(metrics.counter("catkintally_target_unknown_header_total").value() == sample.counted);
}
