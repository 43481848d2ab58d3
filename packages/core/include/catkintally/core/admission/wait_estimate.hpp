#pragma once

#include <catkintally/core/admission/admission_decision.hpp>
#include <catkintally/core/admission/admission_queue.hpp>
#include <catkintally/core/admission/target_choice.hpp>

#include <optional>

namespace catkintally::core
{

/// Whether a new request may wait for a place, judged before it enters the queue.
struct wait_estimate
{
    /// Set if the request must be refused at once.
    std::optional<decision_code> refusal;
    /// When a new attempt has a chance.
    duration retry_after{};
};

/// Retry-After when no target is available and nothing tells when one will be.
inline constexpr duration no_target_wait = std::chrono::seconds(1);

/// Shortest Retry-After under overload: an earlier attempt would only add load.
inline constexpr duration min_overload_wait = std::chrono::milliseconds(100);

/// Estimates when a request would start, from the places of the targets that it may use, the queue
/// before it and the times of the service.
wait_estimate estimate_wait(
    const target_list& targets,
    const admission_queue& queue,
    const service_time_model& times,
    const service_row& service,
    const choice_input& input);

} // namespace catkintally::core
