#pragma once

#include <catkintally/core/admission/admission_decision.hpp>
#include <catkintally/core/admission/admission_queue.hpp>
#include <catkintally/core/admission/target_choice.hpp>

#include <optional>

namespace catkintally::core
{

/// Whether a new request may enter the queue, or the reason to refuse it.
struct wait_estimate
{
    /// Set if the request must be refused immediately.
    std::optional<decision_code> refusal;
    /// Time after which a new attempt may succeed.
    duration retry_after{};
};

/// Retry-After when no target is available and it is unknown when one will be.
inline constexpr duration no_target_wait = std::chrono::seconds(1);

/// Minimum Retry-After under overload: an earlier attempt would only add load.
inline constexpr duration min_overload_wait = std::chrono::milliseconds(100);

/// Estimates when a request would start, from the limits of the targets that it may use, the queue
/// before it and the service times.
wait_estimate estimate_wait(
    const target_list& targets,
    const admission_queue& queue,
    const service_time_model& times,
    const service_row& service,
    const choice_input& input);

} // namespace catkintally::core
