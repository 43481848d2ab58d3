#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/admission/target_admission.hpp>

#include <memory>

namespace catkintally::core
{

using target_list = std::vector<std::unique_ptr<target_admission>>;

/// What a choice depends on besides the targets.
struct choice_input
{
    const admission_request& request;
    /// Times of the service.
    const service_time_model& times;
    /// The request was in flight at an earlier crash.
    bool suspect = false;
    /// Requests that may wait ahead at a warm target.
    std::uint32_t ahead = 0;
    time_point now{};
    /// Cold targets take nothing before this time.
    time_point cold_blocked_until{};
};

/// Chooses the target of a request: a free place on the target with the lowest load relative to
/// slots x weight, where a target whose requests look late counts as more loaded. Deterministic for
/// a seed and an order of calls.
class target_choice
{
public:
    explicit target_choice(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// The target to use, or null if no allowed target has a free place.
    target_admission* choose(const target_list& targets, const choice_input& input);

    /// True if the target may take the request at all, free place or not.
    [[nodiscard]] static bool
    allowed(const target_admission& target, const choice_input& input, time_point at);

private:
    split_mix random_;
};

} // namespace catkintally::core
