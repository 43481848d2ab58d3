#pragma once

#include <catkintally/core/admission/admission_decision.hpp>

#include <functional>
#include <string>

namespace catkintally::core
{

/// Hooks and fixed inputs of a service_admission. Every hook may be empty except `decide`.
struct service_admission_options
{
    /// Name of the service.
    std::string service;
    /// Clock and timers; must outlive the service_admission.
    timer_service* timers = nullptr;
    /// Breaks ties between equal targets.
    std::uint64_t seed = 0;
    /// Receives the decision on each submit(), possibly before submit() returns.
    std::function<void(const admission_decision&)> decide;
    /// Called after a target's phase or limit changed, to update the copy at the witness.
    std::function<void(const std::string& target)> phase_changed;
    /// Requests one probe of a target. The result is passed to complete() with id 0.
    std::function<void(const std::string& target)> probe;
};

} // namespace catkintally::core
