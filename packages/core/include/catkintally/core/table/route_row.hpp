#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A service and its share of a route's requests.
struct route_destination
{
    /// Name of the service.
    std::string service;
    /// Share relative to the other destinations of the route.
    double weight = 1;

    bool operator==(const route_destination&) const = default;
};

/// Which requests go to which services, and what their callers expect. Use it where several routes
/// lead to one service or one route leads to several; a service with a path prefix of its own needs
/// no route.
struct route_row
{
    /// Unique name.
    std::string name;
    /// Host header that selects the route, without port; empty matches every host.
    std::string host;
    /// Path prefix that selects the route; the longest match wins.
    std::string path_prefix;
    /// Where the requests go; at least one.
    std::vector<route_destination> destinations;
    /// Whether requests may run more than once. Nothing: the service's idempotent_methods decide.
    std::optional<bool> idempotent;
    /// Longest time until the final answer. Zero: the service's deadline_ms.
    duration time_limit{};
    /// Time within which an answer is of full use to the caller. Zero: unknown.
    duration latency_objective{};
    /// Targets to which one request may be sent, one after the other.
    std::uint32_t max_attempts = 4;
    /// Rank among the routes of a service; 0 is the most urgent.
    std::uint32_t priority = 0;

    bool operator==(const route_row&) const = default;
};

} // namespace catkintally::core
