#pragma once

#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <map>
#include <string>
#include <string_view>

namespace catkintally::entry
{

/// Counts refused API keys by reason, and requests by organisation.
class organisation_metrics
{
public:
    explicit organisation_metrics(runtime::metrics_registry& metrics);

    /// A request was refused because of its key.
    void add_refused(std::string_view reason);

    /// A request of an organisation was let in.
    void add_request(const std::string& organisation);

private:
    runtime::metrics_registry& metrics_;
    std::map<std::string, runtime::metric_counter*> requests_;
};

} // namespace catkintally::entry
