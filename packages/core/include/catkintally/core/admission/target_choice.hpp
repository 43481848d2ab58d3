#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/admission/target_admission.hpp>

#include <memory>

namespace catkintally::core
{

using target_list = std::vector<std::unique_ptr<target_admission>>;

/// Inputs of a target selection other than the targets.
struct choice_input
{
    const admission_request& request;
    /// Service times of the service.
    const service_time_model& times;
    /// The request was in flight at an earlier crash.
    bool suspect = false;
    /// Requests that may be sent to a warm target beyond its slots.
    std::uint32_t ahead = 0;
    time_point now{};
    /// Cold and ejected targets receive no requests before this time.
    time_point cold_blocked_until{};
};

/// Selects the target of a request: the one with the lowest load relative to slots x weight among
/// those below their limit. The probability that a target is slow adds to its load. Deterministic
/// for a seed and an order of calls.
class target_choice
{
public:
    explicit target_choice(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Returns the selected target, or null if every allowed target is at its limit.
    target_admission* choose(const target_list& targets, const choice_input& input);

    /// True if the target may take the request at time `at`, regardless of its limit.
    [[nodiscard]] static bool
    allowed(const target_admission& target, const choice_input& input, time_point at);

private:
    split_mix random_;
};

} // namespace catkintally::core
