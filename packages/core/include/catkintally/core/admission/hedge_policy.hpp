#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace catkintally::core
{

/// When a hedged request is allowed.
struct hedge_policy_options
{
    /// Services whose targets have fewer slots are not hedged; 0: no service is.
    std::uint32_t min_slots = 0;
};

/// Decides when an idempotent request that is still running is sent to a second target as well.
///
/// Answers the load of targets that share their machines with others: such a target works at a
/// fraction of its usual speed for a moment, and a request that starts in that moment stays slow
/// to its end. A second request, started while it can still be answered within the objective, costs
/// one slot for a short time. Under shortage that slot is worth more to a first request, so no
/// request is hedged then.
class hedge_policy
{
public:
    explicit hedge_policy(hedge_policy_options options)
        : options_(options)
    {
    }

    /// Records the service time of an answered request.
    void note_answer(const std::string& service, duration service_time);

    /// Records an admission decision for a first attempt, and the time that it took.
    void note_decision(const std::string& service, duration took, bool granted);

    /// Time after the grant at which the request may be hedged; nullopt if it must not be, because
    /// of its service or because it has no objective, or because an answer of the second target
    /// would usually come after the objective.
    [[nodiscard]] std::optional<duration>
    delay(const std::string& service, std::uint32_t slots, duration objective_left) const;

    /// True if a request that is due may be hedged now; it is then counted. The service must have
    /// free slots, the retry budget must admit a retry (`retries` is what it holds), and hedged
    /// requests may use only a part of that budget, so that requests that fail find the rest.
    [[nodiscard]] bool take(const std::string& service, double retries);

private:
    struct service_state
    {
        /// Moving average of the service time, in seconds.
        double mean_s = 0;
        std::uint32_t answers = 0;
        /// Moving average of the fraction of requests that waited for a slot or got none.
        double waiting = 0;
        /// Hedged requests that are allowed now.
        double tokens = 0;
    };

    hedge_policy_options options_;
    std::map<std::string, service_state> services_;
};

} // namespace catkintally::core
