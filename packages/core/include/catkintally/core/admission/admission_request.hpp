#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Unique over the fleet: the high bits are random per process start, the low bits count.
using request_id = std::uint64_t;

/// One request's application for a place at a target.
struct admission_request
{
    /// Request the place is for. A retry uses the same id after the earlier place is completed.
    request_id id = 0;
    /// The request's id in logs; it may have been given by the caller.
    std::string trace_id{};
    /// Name of the service.
    std::string service;
    /// Instance that will dispatch the request.
    std::string instance;
    /// Failure domain of that instance.
    std::string failure_domain;
    /// True if the request may run more than once.
    bool idempotent = false;
    /// Idempotency key; empty if the request has none.
    std::string key;
    /// Hash of method, path and body (or of the key), to recognise a request that crashes targets.
    std::uint64_t fingerprint = 0;
    /// Time left until the caller's deadline.
    duration deadline_left{};
    /// Time left in which an answer is of full use to the caller. Zero: unknown or over.
    duration objective_left{};
    /// Rank among the requests of the service; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// True if this is a further attempt of the same request.
    bool retry = false;
    /// Targets that must not be chosen.
    std::vector<std::string> excluded_targets;
};

} // namespace catkintally::core
