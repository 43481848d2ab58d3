#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Unique in the fleet: the high bits are random per process start, the low bits are a counter.
using request_id = std::uint64_t;

/// Asks for the admission of one request to a target.
struct admission_request
{
    /// Request to admit. A retry reuses the id once the grant of the earlier attempt has completed.
    request_id id = 0;
    /// Id of the request in logs; may come from the caller.
    std::string trace_id{};
    std::string service;
    /// Instance that will dispatch the request.
    std::string instance;
    /// Failure domain of `instance`.
    std::string failure_domain;
    /// True if the request may safely run more than once.
    bool idempotent = false;
    /// Idempotency key; empty if the request has none.
    std::string key;
    /// Hash of method, path and body, or of the idempotency key. Identifies a request that crashes
    /// the targets that run it.
    std::uint64_t fingerprint = 0;
    /// Size of the request's body.
    std::uint64_t body_bytes = 0;
    /// Time remaining until the caller's deadline.
    duration deadline_left{};
    /// Time remaining of the latency objective, within which a response has its full value to the
    /// caller. Zero if unknown or over.
    duration objective_left{};
    /// Priority among the requests of the service; 0 is the highest.
    std::uint32_t priority = 0;
    /// Organisation of the caller; empty if unknown.
    std::string organisation{};
    /// True if an earlier attempt of the same request was made.
    bool retry = false;
    /// Targets that must not be chosen.
    std::vector<std::string> excluded_targets;
};

} // namespace catkintally::core
