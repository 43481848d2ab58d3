#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/targets/limit_statement.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <optional>

namespace catkintally::core
{

using wire::completion_outcome;

/// Load as reported by the target itself; may be out of date or wrong.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Requests that the target can run concurrently; 0 if not reported.
    std::uint32_t slots = 0;
    /// Current service time divided by the usual service time.
    double slowdown = 1;
    bool cold = false;
    bool draining = false;
};

/// Outcome of a granted request.
struct completion_report
{
    request_id id = 0;
    std::string service;
    std::string target;
    completion_outcome outcome = completion_outcome::answered;
    /// HTTP status of a complete response, 0 otherwise.
    std::uint16_t status = 0;
    /// Time from the first byte sent to the end of the request.
    duration service_time{};
    std::optional<load_report> load;
    /// Size of the response's body.
    std::uint64_t body_bytes = 0;
    /// What the response says about the target's rate limit; nullopt if it cannot say anything.
    std::optional<limit_statement> limit{};
    /// The target says in its response that it leaves.
    bool leaving = false;
    /// The target has turned the request away and wants nothing from this instance for so long.
    std::optional<duration> pause{};
    /// With `not_run`: this instance gave the attempt up for a reason of its own, so that the end
    /// says nothing about the target.
    bool untried = false;
};

} // namespace catkintally::core
