#include <catkintally/core/admission/hedge_policy.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Fraction of the objective after which a request is hedged. Earlier, many requests would be
/// hedged that are about to be answered; later, few of the second answers would be in time.
constexpr double hedge_time_fraction = 0.55;

/// A second answer takes the usual time and a bit more, since the average includes fast requests.
constexpr double expected_time_factor = 1.1;

/// Answers after which the average service time is used. An instance of a large fleet sees a few
/// requests per second.
constexpr std::uint32_t min_answers = 4;

/// Weights of the newest sample in the moving averages.
constexpr double service_time_weight = 0.1;
constexpr double waiting_weight = 0.05;

/// Times that are longer than this multiple of the average are cut to it, since a slow target says
/// nothing about the second one.
constexpr double max_sample_factor = 1.5;

/// Decisions that take longer waited for a slot; several rounds of probes take less.
constexpr duration waiting_threshold = std::chrono::milliseconds(30);

/// Fraction of waiting requests above which the service is short of slots.
constexpr double max_waiting = 0.1;

/// Hedged requests per first attempt. The platform's retry budget is 0.2 per first attempt.
constexpr double hedges_per_request = 0.08;
constexpr double max_tokens = 2;

} // namespace

void hedge_policy::note_answer(const std::string& service, duration service_time)
{
    service_state& state = services_[service];
    const double seconds = std::chrono::duration<double>(service_time).count();
    if (state.answers == 0)
    {
        state.mean_s = seconds;
    }
    const double sample = std::min(seconds, max_sample_factor * state.mean_s);
    // The plain average of the first answers.
    const double weight =
        std::max(service_time_weight, 1.0 / (static_cast<double>(state.answers) + 1));
    state.mean_s += weight * (sample - state.mean_s);
    state.answers = std::min(state.answers + 1, min_answers + 100);
}

void hedge_policy::note_decision(const std::string& service, duration took, bool granted)
{
    service_state& state = services_[service];
    const bool waited = !granted || took > waiting_threshold;
    state.waiting += waiting_weight * ((waited ? 1.0 : 0.0) - state.waiting);
    if (granted)
    {
        state.tokens = std::min(state.tokens + hedges_per_request, max_tokens);
    }
}

std::optional<duration>
hedge_policy::delay(const std::string& service, std::uint32_t slots, duration objective_left) const
{
    const auto found = services_.find(service);
    if (options_.min_slots == 0 || slots < options_.min_slots ||
        objective_left <= duration::zero() || found == services_.end() ||
        found->second.answers < min_answers)
    {
        return std::nullopt;
    }
    const std::chrono::duration<double> objective = objective_left;
    const auto delay = objective * hedge_time_fraction;
    const std::chrono::duration<double> expected(found->second.mean_s * expected_time_factor);
    if (delay + expected > objective)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(delay);
}

bool hedge_policy::take(const std::string& service, double retries)
{
    service_state& state = services_[service];
    if (retries < 1 || state.tokens < 1 || state.waiting > max_waiting)
    {
        return false;
    }
    state.tokens -= 1;
    return true;
}

} // namespace catkintally::core
