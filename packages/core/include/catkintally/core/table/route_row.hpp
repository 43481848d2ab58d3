#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Service that receives a weighted share of a route's requests.
struct route_destination
{
    /// Name of the service.
    std::string service;
    /// Weight relative to the other destinations of the route.
    double weight = 1;

    bool operator==(const route_destination&) const = default;
};

/// Maps requests to services and sets their deadline, latency objective and retry policy. Needed
/// where several routes lead to one service or one route leads to several; a service with its own
/// path prefix needs no route.
struct route_row
{
    /// Unique name.
    std::string name;
    /// Host header that selects the route, without port; empty matches every host.
    std::string host;
    /// Path prefix that selects the route; the longest matching prefix wins.
    std::string path_prefix;
    /// Services that receive the requests; at least one.
    std::vector<route_destination> destinations;
    /// Whether requests may run more than once. Unset: decided by the service's idempotent_methods.
    std::optional<bool> idempotent;
    /// Time limit until the final response. Zero: the service's deadline_ms applies.
    duration time_limit{};
    /// Time within which a response has its full value to the caller. Zero: unknown.
    duration latency_objective{};
    /// Maximum number of attempts for one request, the first one included. Each goes to a target
    /// after the previous one has ended.
    std::uint32_t max_attempts = 4;
    /// Priority among the routes of a service; 0 is the highest.
    std::uint32_t priority = 0;
    /// Requests need no API key, even if the table has organisations.
    bool is_public = false;

    bool operator==(const route_row&) const = default;
};

} // namespace catkintally::core
