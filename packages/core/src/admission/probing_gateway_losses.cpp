// Requests that targets lose, and targets that crash with them.
#include <catkintally/core/admission/probing_gateway.hpp>

#include <utility>

namespace catkintally::core
{

namespace
{

/// A request is checked on when its objective has passed: nearly all others are answered before, so
/// the checks cost little. This is for requests without an objective, or whose objective is over.
constexpr duration usual_patience = std::chrono::milliseconds(200);

} // namespace

void probing_gateway::watch(request_id id, std::function<void()> lost)
{
    grant& watched = grants_.at(id);
    watched.lost = std::move(lost);
    watch_.sent(
        id, watched.target,
        watched.objective_left > duration::zero() ? watched.objective_left : usual_patience);
}

void probing_gateway::check_target(const target_key& key, std::function<void(probe_report)> done)
{
    const service_config* config = service(key.first);
    const target_row* target = row(key);
    if (config == nullptr || target == nullptr)
    {
        // The target has left the table and may serve its last requests; nothing is learnt of it.
        probe_report unknown;
        unknown.answered = true;
        options_.timers->schedule_after(
            duration::zero(), [done = std::move(done), unknown] { done(unknown); });
        return;
    }
    ++probes_;
    options_.probe(*config, *target, std::move(done));
}

void probing_gateway::reach_target(const target_key& key, std::function<void(bool)> ended)
{
    if (const target_row* target = row(key))
    {
        options_.reach(*target, std::move(ended));
        return;
    }
    options_.timers->schedule_after(duration::zero(), [ended = std::move(ended)] { ended(true); });
}

bool probing_gateway::note_crash(const target_crash& crash)
{
    return crashes_.add(crash, options_.timers->now());
}

void probing_gateway::confirm_crash(const grant& ended)
{
    if (ended.fingerprint == 0)
    {
        return;
    }
    // A target may also lose an answer or reset a surplus connection; one that crashed accepts no
    // new connection.
    const target_crash crash{
        .fingerprint = ended.fingerprint,
        .target = ended.target.second,
        .sent_at = ended.at,
        .crashed_at = options_.timers->now()};
    reach_target(
        ended.target,
        [this, crash, key = ended.target, alive = std::weak_ptr(alive_)](bool stands)
        {
            if (alive.expired() || stands)
            {
                return;
            }
            if (row(key) != nullptr)
            {
                report_failure(key, target_failure::unreachable);
            }
            if (note_crash(crash) && options_.crashed)
            {
                options_.crashed(crash);
            }
        });
}

void probing_gateway::on_lost(request_id id, loss_cause cause)
{
    const auto found = grants_.find(id);
    if (found == grants_.end())
    {
        return;
    }
    if (options_.lost)
    {
        options_.lost(found->second.trace_id, found->second.target.second, cause);
    }
    if (cause != loss_cause::not_at_target)
    {
        report_failure(
            found->second.target, cause == loss_cause::target_silent ? target_failure::unreachable
                                                                     : target_failure::answer);
    }
    if (const auto lost = found->second.lost)
    {
        lost();
    }
}

} // namespace catkintally::core
