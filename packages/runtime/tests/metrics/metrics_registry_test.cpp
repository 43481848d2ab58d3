#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::runtime;
using namespace std::chrono_literals;

// Guards against series that are lost, doubled or not readable by a Prometheus scraper.
TEST_CASE("series are printed in the Prometheus text format")
{
    metrics_registry metrics;
    metrics.counter("requests_total", {{"service", "pay\"desk"}}).add(2);
    metrics.counter("requests_total", {{"service", "pay\"desk"}}).add();
    metrics.gauge("open", {}, [] { return 4.5; });
    metrics.latency("wait_seconds").add(1500ms);
    CHECK(
        metrics.exposition() == "# TYPE open gauge\nopen 4.5\n"
                                "# TYPE requests_total counter\n"
                                "requests_total{service=\"pay\\\"desk\"} 3\n"
                                "# TYPE wait_seconds histogram\n"
                                "wait_seconds_bucket{le=\"0.001\"} 0\n"
                                "wait_seconds_bucket{le=\"0.0025\"} 0\n"
                                "wait_seconds_bucket{le=\"0.005\"} 0\n"
                                "wait_seconds_bucket{le=\"0.01\"} 0\n"
                                "wait_seconds_bucket{le=\"0.025\"} 0\n"
                                "wait_seconds_bucket{le=\"0.05\"} 0\n"
                                "wait_seconds_bucket{le=\"0.1\"} 0\n"
                                "wait_seconds_bucket{le=\"0.25\"} 0\n"
                                "wait_seconds_bucket{le=\"0.5\"} 0\n"
                                "wait_seconds_bucket{le=\"1\"} 0\n"
                                "wait_seconds_bucket{le=\"2.5\"} 1\n"
                                "wait_seconds_bucket{le=\"5\"} 1\n"
                                "wait_seconds_bucket{le=\"10\"} 1\n"
                                "wait_seconds_bucket{le=\"+Inf\"} 1\n"
                                "wait_seconds_sum 1.5\nwait_seconds_count 1\n"
                                "# TYPE wait_seconds_quantile gauge\n");
}

// Guards against samples that fall between two buckets or out of the last one.
TEST_CASE("each sample is counted in every bucket that covers it")
{
    struct row
    {
        catkintally::core::duration sample;
        std::size_t first_bucket;
    };
    const auto each = GENERATE(
        row{0us, 0}, row{1ms, 0}, row{1001us, 1}, row{10s, 12},
        row{11s, latency_histogram::bucket_bounds.size()});
    latency_histogram latency;
    latency.add(each.sample);
    CHECK(latency.count() == 1);
    for (std::size_t bucket = 0; bucket < latency_histogram::bucket_bounds.size(); ++bucket)
    {
        CHECK(latency.count_up_to(bucket) == (bucket >= each.first_bucket ? 1 : 0));
    }
}

// Guards against an estimator that mixes up its markers, and against windows that never age.
TEST_CASE("quantiles follow the newest window")
{
    latency_histogram summary;
    CHECK_FALSE(summary.quantile(0.5));
    const auto feed = [&](std::uint64_t samples, std::uint64_t spread)
    {
        for (std::uint64_t i = 0; i < samples; ++i)
        {
            // A fixed permutation of 0..spread-1 as microseconds.
            summary.add(catkintally::core::duration(static_cast<long>(i * 7919 % spread)));
        }
    };
    feed(latency_histogram::window_samples, 10'000);
    CHECK(*summary.quantile(0.5) == Approx(0.005).epsilon(0.05));
    CHECK(*summary.quantile(0.99) == Approx(0.0099).epsilon(0.05));
    feed(latency_histogram::window_samples, 1'000);
    CHECK(*summary.quantile(0.5) == Approx(0.0005).epsilon(0.05));
    CHECK_FALSE(summary.quantile(0.25));
}
