// Detection of requests lost at targets and of requests that crash targets.
#include <catkintally/core/admission/probing_gateway.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Delay of the first check of a request without an objective, or whose objective has passed. Other
/// requests are checked when their objective passes: nearly all are answered before, so the checks
/// cost little.
constexpr duration default_check_delay = std::chrono::milliseconds(200);

/// Reports that are older than this say nothing about the moment at which a connection was reset.
constexpr duration max_load_age = std::chrono::seconds(1);

/// A report of free slots that is not older than this is believed: a queue does not fill so fast.
constexpr duration recent_load_age = std::chrono::milliseconds(200);

/// Further requests of this instance in flight at a target of which it is likely that the others
/// of the fleet have filled its queue as well.
constexpr std::size_t several_in_flight = 3;

/// A target that was full gets no requests of this instance for so long. Several of its slots
/// become free in that time.
constexpr duration full_time = std::chrono::milliseconds(200);

/// A full target still answers requests. One that has reset so many connections in a row without
/// an answer is broken.
constexpr std::uint32_t max_resets_since_answer = 8;

} // namespace

void probing_gateway::watch(request_id id, std::function<void(loss_cause)> on_lost)
{
    grant& watched = grants_.at(id);
    watched.on_lost = std::move(on_lost);
    lost_request_detector_.add_request(
        id, watched.target,
        watched.objective_left > duration::zero() ? watched.objective_left : default_check_delay);
    if (has_restarted(watched))
    {
        lost_request_detector_.note_restart(id);
    }
    if (std::exchange(watched.may_hedge, false))
    {
        schedule_hedge(id, watched);
    }
}

void probing_gateway::schedule_hedge(request_id id, const grant& granted)
{
    const target_row* target = find_row(granted.target);
    const auto delay =
        target == nullptr
            ? std::nullopt
            : hedges_.delay(granted.target.first, target->slots, granted.objective_left);
    if (delay)
    {
        options_.timers->schedule_after(
            *delay,
            [this, id, granted_at = granted.granted_at, alive = std::weak_ptr(alive_)]
            {
                if (!alive.expired())
                {
                    hedge(id, granted_at);
                }
            });
    }
}

void probing_gateway::hedge(request_id id, time_point granted_at)
{
    const auto found = grants_.find(id);
    // The id may belong to a later grant by now.
    if (found == grants_.end() || found->second.granted_at != granted_at ||
        !found->second.on_lost ||
        !hedges_.take(
            found->second.target.first, retry_budgets_[found->second.target.first].tokens()))
    {
        return;
    }
    // The receiver watches the request again if no other target can be found for it.
    lost_request_detector_.remove_request(id);
    const auto on_lost = found->second.on_lost;
    on_lost(loss_cause::slow);
}

bool probing_gateway::has_restarted(const grant& granted) const
{
    const target_row* target = find_row(granted.target);
    return target != nullptr && target->incarnation != 0 && granted.incarnation != 0 &&
           target->incarnation != granted.incarnation;
}

void probing_gateway::check_target(const target_key& key, std::function<void(probe_report)> done)
{
    const service_config* config = service(key.first);
    const target_row* target = find_row(key);
    if (config == nullptr || target == nullptr)
    {
        // The target is no longer in the table but may still finish its requests. Report an answer
        // that says nothing about the target, so that they stay watched.
        probe_report unknown;
        unknown.answered = true;
        options_.timers->schedule_after(
            duration::zero(), [done = std::move(done), unknown] { done(unknown); });
        return;
    }
    ++probes_;
    options_.probe(*config, *target, std::move(done));
}

void probing_gateway::try_connect_target(const target_key& key, std::function<void(bool)> completed)
{
    if (const target_row* target = find_row(key))
    {
        options_.try_connect(*target, std::move(completed));
        return;
    }
    options_.timers->schedule_after(
        duration::zero(), [completed = std::move(completed)] { completed(true); });
}

bool probing_gateway::note_crash(const target_crash& crash)
{
    return crashes_.add(crash, options_.timers->now());
}

void probing_gateway::confirm_crash(
    const grant& completed, const std::function<void()>& on_accepted)
{
    if (completed.fingerprint == 0 && !on_accepted)
    {
        return;
    }
    // A connection may also be lost because the target lost an answer or reset a surplus
    // connection. A target that crashed accepts no new connection.
    const target_crash crash{
        .fingerprint = completed.fingerprint,
        .target = completed.target.second,
        .sent_at = completed.granted_at,
        .crashed_at = options_.timers->now()};
    try_connect_target(
        completed.target,
        [this, crash, key = completed.target, on_accepted,
         alive = std::weak_ptr(alive_)](bool connected)
        {
            if (alive.expired())
            {
                return;
            }
            if (connected)
            {
                if (on_accepted)
                {
                    on_accepted();
                }
                return;
            }
            if (find_row(key) != nullptr)
            {
                report_failure(key, target_failure::unreachable);
            }
            if (crash.fingerprint == 0 || !note_crash(crash))
            {
                return;
            }
            if (options_.crashed)
            {
                options_.crashed(crash);
            }
            save_crashes(crash.fingerprint);
        });
}

bool probing_gateway::was_full(const grant& completed, std::size_t others) const
{
    const auto known = targets_.find(completed.target);
    if (known == targets_.end() || !shortage_.covers(completed.target.first) ||
        known->second.resets_since_answer >= max_resets_since_answer)
    {
        return false;
    }
    const target_state& state = known->second;
    const duration age = options_.timers->now() - state.last_load_at;
    if (state.last_load && state.last_load->slots > 0 && age <= max_load_age)
    {
        // The report may be older than some requests in flight.
        const auto unreported = static_cast<std::size_t>(
            std::distance(state.in_flight.lower_bound(state.last_load_at), state.in_flight.end()));
        const load_report& load = *state.last_load;
        if (load.running + load.queued + unreported >= load.slots)
        {
            return true;
        }
        if (age <= recent_load_age)
        {
            return false;
        }
    }
    return others >= several_in_flight;
}

bool probing_gateway::is_full_since(const grant& granted) const
{
    const auto known = targets_.find(granted.target);
    if (known == targets_.end() || !shortage_.covers(granted.target.first))
    {
        return false;
    }
    const target_state& state = known->second;
    return options_.timers->now() < state.full_until ||
           (state.last_load && state.last_load->slots > 0 &&
            state.last_load_at > granted.granted_at &&
            state.last_load->running + state.last_load->queued >= state.last_load->slots);
}

void probing_gateway::handle_connection_lost(const grant& completed, std::size_t others)
{
    if (!was_full(completed, others))
    {
        confirm_crash(completed);
        report_failure(completed.target);
        return;
    }
    target_state& full = state(completed.target);
    full.full_until = options_.timers->now() + full_time;
    ++full.resets_since_answer;
    confirm_crash(completed, [this] { ++full_resets_; });
}

void probing_gateway::handle_loss(request_id id, loss_cause cause)
{
    const auto found = grants_.find(id);
    if (found == grants_.end())
    {
        return;
    }
    if (options_.on_lost)
    {
        options_.on_lost(found->second.trace_id, found->second.target.second, cause);
    }
    if (cause != loss_cause::not_at_target && !has_restarted(found->second))
    {
        report_failure(
            found->second.target, cause == loss_cause::target_silent
                                      ? target_failure::unreachable
                                      : target_failure::bad_response);
    }
    if (const auto on_lost = found->second.on_lost)
    {
        on_lost(cause);
    }
}

void probing_gateway::report_failure(const target_key& key, target_failure failure)
{
    target_health& health = state(key).health;
    const auto now = options_.timers->now();
    const bool was_ejected = health.is_ejected(now);
    if (failure == target_failure::unreachable)
    {
        health.unreachable(now);
    }
    else
    {
        health.failed(now);
    }
    if (!was_ejected && options_.ejected)
    {
        options_.ejected(key.first, key.second, health.failures());
    }
}

std::size_t probing_gateway::ejected_count() const
{
    const auto now = options_.timers->now();
    return static_cast<std::size_t>(std::count_if(
        targets_.begin(), targets_.end(),
        [now](const auto& each) { return each.second.health.is_ejected(now); }));
}

} // namespace catkintally::core
