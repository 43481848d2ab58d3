#include <catkintally/core/admission/wait_estimate.hpp>

#include <algorithm>

namespace catkintally::core
{
namespace
{

constexpr time_point never = time_point::max();

/// Earliest time at which the limit of the target lets the request in, without regard to places in
/// use.
time_point opening(const target_admission& target, const choice_input& input)
{
    time_point at = input.now;
    while (!target_choice::allowed(target, input, at) || target.limit(0, at) == 0)
    {
        const time_point change = target.next_change(at).value_or(never);
        const time_point unblocked =
            at < input.cold_blocked_until ? input.cold_blocked_until : never;
        at = std::min(change, unblocked);
        if (at == never || !target.available())
        {
            return never;
        }
    }
    return at;
}

} // namespace

wait_estimate estimate_wait(
    const target_list& targets,
    const admission_queue& queue,
    const service_time_model& times,
    const service_row& service,
    const choice_input& input)
{
    const time_point now = input.now;
    const duration deadline_left = input.request.deadline_left;
    const time_point last_start = now + deadline_left - times.median();

    std::uint32_t running_places = 0;
    bool free_place = false;
    time_point opens = never;
    for (const auto& target : targets)
    {
        const time_point at = opening(*target, input);
        opens = std::min(opens, at);
        if (at == now)
        {
            running_places += target->limit(0, now);
            free_place |= target->occupied(now) < target->limit(input.ahead, now);
        }
    }
    if (opens == never)
    {
        return {decision_code::refused_no_target, no_target_wait};
    }
    if (deadline_left <= duration::zero() || (opens == now && now > last_start))
    {
        // Shorter than the work itself: waiting does not help.
        return {decision_code::refused_deadline, duration::zero()};
    }
    if (opens > last_start)
    {
        return {decision_code::refused_no_target, opens - now};
    }
    if (free_place)
    {
        return {};
    }

    // Front requests pass all archive work but every 8th place.
    const double before = service.work == work_class::archive
                              ? static_cast<double>(queue.size())
                              : static_cast<double>(queue.front_size()) * 8 / 7;
    const double rounds = (before + 1) / std::max(running_places, 1U);
    const duration wait(
        static_cast<duration::rep>(rounds * static_cast<double>(times.mean().count())));
    if (queue.size() >= service.queue_limit)
    {
        return {decision_code::refused_queue_full, std::max(wait, min_overload_wait)};
    }
    if (now + wait > last_start)
    {
        return {decision_code::refused_deadline, std::max(wait, min_overload_wait)};
    }
    return {};
}

} // namespace catkintally::core
