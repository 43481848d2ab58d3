#pragma once

#include <catkintally/runtime/metrics/latency_histogram.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::runtime
{

/// Label names and values of one series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// A number that only grows.
class metric_counter
{
public:
    /// Adds `amount`.
    void add(std::uint64_t amount = 1) { value_ += amount; }

    /// Sum of everything added.
    [[nodiscard]] std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// All metrics of a process. Parts ask for their series once, keep the reference and update it;
/// references stay valid as long as the registry. For use on the loop's thread only.
class metrics_registry
{
public:
    /// The counter with this name and labels, created at the first call.
    [[nodiscard]] metric_counter&
    counter(const std::string& name, const metric_labels& labels = {});

    /// The latency histogram with this name and labels, created at the first call.
    [[nodiscard]] latency_histogram&
    latency(const std::string& name, const metric_labels& labels = {});

    /// A gauge whose value is read when the metrics are printed. A second call replaces the first.
    void gauge(const std::string& name, const metric_labels& labels, std::function<double()> read);

    /// All series in the Prometheus text format, sorted by name and labels.
    [[nodiscard]] std::string exposition() const;

private:
    struct series
    {
        std::unique_ptr<metric_counter> counter;
        std::unique_ptr<latency_histogram> latency;
        std::function<double()> gauge;
    };

    series& find(const std::string& name, const metric_labels& labels);

    std::map<std::string, std::map<std::string, series>> families_;
};

} // namespace catkintally::runtime
