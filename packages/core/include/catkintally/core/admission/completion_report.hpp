#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <optional>

namespace catkintally::core
{

using wire::completion_outcome;

/// Load that a target reported about itself; it may lag or mislead.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Requests that it can run at the same time; 0 if it did not say.
    std::uint32_t slots = 0;
    /// How long work takes at this moment, relative to its usual time.
    double slowdown = 1;
    bool cold = false;
    bool draining = false;
};

/// How a granted request ended.
struct completion_report
{
    request_id id = 0;
    std::string service;
    std::string target;
    completion_outcome outcome = completion_outcome::answered;
    /// HTTP status of a whole answer, 0 otherwise.
    std::uint16_t status = 0;
    /// Time from the first byte sent to the end.
    duration service_time{};
    std::optional<load_report> load;
};

} // namespace catkintally::core
