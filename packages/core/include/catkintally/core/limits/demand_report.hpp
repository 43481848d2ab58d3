#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <string_view>

namespace catkintally::core
{

/// Demand of one instance for one service, as exchanged between instances. Names are hashed, so
/// that a report has a small, constant size.
struct demand_report
{
    /// Hash of the instance's name.
    std::uint64_t instance = 0;
    /// Incarnation of the instance.
    std::uint64_t incarnation = 0;
    /// Hash of the service's name.
    std::uint64_t service = 0;
    /// Hash of the name of the instance's failure domain.
    std::uint64_t failure_domain = 0;
    /// Increases with each report of this incarnation.
    std::uint32_t sequence = 0;
    /// Requests per second; negative if the instance is leaving.
    double per_second = 0;
    /// Age of the report when it was sent on.
    duration age{};
};

/// Hash of a name in a demand_report; the same in all instances.
[[nodiscard]] std::uint64_t name_hash(std::string_view name);

} // namespace catkintally::core
