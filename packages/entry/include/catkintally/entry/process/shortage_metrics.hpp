#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::entry
{

/// Counts the decisions that were made while their service was short of slots, by service, priority
/// and result.
class shortage_metrics
{
public:
    /// Records a decision; the registry must outlive this object.
    void record(const core::probing_decision& decision, runtime::metrics_registry& metrics);

private:
    /// Counters of granted and refused requests.
    using counter_pair = std::pair<runtime::metric_counter*, runtime::metric_counter*>;

    std::map<std::pair<std::string, std::uint32_t>, counter_pair> counters_;
};

/// Array of objects with the state of each service to which the shortage policy applies.
[[nodiscard]] boost::json::value to_json(const std::vector<core::shortage_dump>& services);

} // namespace catkintally::entry
