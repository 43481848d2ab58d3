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
                                "# TYPE wait_seconds summary\n"
                                "wait_seconds_sum 1.5\nwait_seconds_count 1\n");
}

// Guards against an estimator that mixes up its markers, and against windows that never age.
TEST_CASE("quantiles follow the newest window")
{
    latency_summary summary;
    CHECK_FALSE(summary.quantile(0.5));
    const auto feed = [&](std::uint64_t samples, std::uint64_t spread)
    {
        for (std::uint64_t i = 0; i < samples; ++i)
        {
            // A fixed permutation of 0..spread-1 as microseconds.
            summary.add(catkintally::core::duration(static_cast<long>(i * 7919 % spread)));
        }
    };
    feed(latency_summary::window_samples, 10'000);
    CHECK(*summary.quantile(0.5) == Approx(0.005).epsilon(0.05));
    CHECK(*summary.quantile(0.99) == Approx(0.0099).epsilon(0.05));
    feed(latency_summary::window_samples, 1'000);
    CHECK(*summary.quantile(0.5) == Approx(0.0005).epsilon(0.05));
    CHECK_FALSE(summary.quantile(0.25));
}
