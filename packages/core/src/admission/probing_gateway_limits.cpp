// Rate limits that targets name: what responses say about them, and requests that wait for a token.
#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/admission/target_set.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Shortest wait for a token of a rate limit.
constexpr duration min_token_wait = std::chrono::milliseconds(1);

} // namespace

bool probing_gateway::within_rate_limit(
    const service_config& config, const target_row& target) const
{
    return options_.limiter == nullptr || options_.limiter->may_send(config.service.name, target);
}

bool probing_gateway::is_blocked_by_limit(const pending_admission& admission) const
{
    const service_config* config = service(admission.request.service);
    return config != nullptr &&
           std::any_of(
               admission.probes.begin(), admission.probes.end(),
               [&](const probe_attempt& each)
               {
                   const target_row* target = find_row({admission.request.service, each.name});
                   return target != nullptr && each.result.report.healthy &&
                          takes_requests(admission.request.service, *target) &&
                          !within_rate_limit(*config, *target);
               });
}

void probing_gateway::refund_token(const target_key& key)
{
    const target_row* target = find_row(key);
    if (options_.limiter != nullptr && target != nullptr)
    {
        options_.limiter->refund(key.first, *target);
    }
}

void probing_gateway::observe_limit(
    const target_key& key,
    const std::optional<limit_statement>& statement,
    time_point sent_at,
    bool executed)
{
    const target_row* target = find_row(key);
    if (options_.limiter != nullptr && target != nullptr && statement)
    {
        options_.limiter->observe(
            key.first, *target,
            {.statement = *statement, .sent_at = sent_at, .executed = executed});
    }
}

void probing_gateway::wait_for_token(request_id id)
{
    pending_admission& admission = pending_admissions_.at(id);
    const std::string& service = admission.request.service;
    const auto now = options_.timers->now();
    const auto wait = options_.limiter->time_to_token(service);
    const auto waiting = token_waiters_.find(service);
    const std::size_t waiters = waiting == token_waiters_.end() ? 0 : waiting->second;
    const bool served_in_time =
        wait && now + *wait < admission.probe_until &&
        waiters < options_.limiter->tokens_within(service, admission.probe_until - now);
    if (!served_in_time)
    {
        finish(
            id, decision_code::refused_target_limit, nullptr,
            options_.limiter->retry_after(service));
        return;
    }
    ++token_waiters_[service];
    admission.awaits_token = true;
    admission.round = 0;
    admission.timer = options_.timers->schedule_after(
        std::max(*wait, min_token_wait), [this, id] { start_probe_round(id); });
}

void probing_gateway::stop_waiting_for_token(pending_admission& admission)
{
    if (std::exchange(admission.awaits_token, false))
    {
        const auto waiters = token_waiters_.find(admission.request.service);
        if (--waiters->second == 0)
        {
            token_waiters_.erase(waiters);
        }
    }
}

} // namespace catkintally::core
