#include <catkintally/core/admission/loss_watch.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

/// A request sent this long before a check has arrived at the target when it answers.
constexpr duration arrival_time = milliseconds(20);

/// An answer that left the target before its answer to the check arrives within this time.
constexpr duration confirmation_time = milliseconds(20);

/// Questions without an answer after which a target is taken to be silent: a health check, which a
/// full target may leave unanswered for a while, and two new connections, since one may fail with a
/// lost packet.
constexpr std::uint32_t silent_questions = 3;

/// A timer that runs this late shows that this process was paused and may not have read the answer.
constexpr duration pause = milliseconds(10);

/// Growth of the interval between two checks of a request whose target answers.
constexpr int interval_growth = 2;

} // namespace

const char* loss_cause_name(loss_cause cause)
{
    switch (cause)
    {
    case loss_cause::target_silent:
        return "target_silent";
    case loss_cause::target_replaced:
        return "target_replaced";
    case loss_cause::not_at_target:
        break;
    }
    return "not_at_target";
}

loss_watch::loss_watch(loss_watch_options options)
    : options_(std::move(options))
{
    assert(options_.timers != nullptr && options_.probe && options_.reach && options_.lost);
}

loss_watch::~loss_watch()
{
    for (const auto& [id, each] : watched_)
    {
        options_.timers->cancel(each.timer);
    }
    for (const auto& [target, pending] : checking_)
    {
        options_.timers->cancel(pending.timer);
    }
}

void loss_watch::sent(request_id id, const target_key& target, duration patience)
{
    assert(patience > duration::zero() && !watched_.contains(id));
    watched& added = watched_[id];
    added.target = target;
    added.sent_at = options_.timers->now();
    added.interval = patience;
    added.timer = options_.timers->schedule_after(patience, [this, id] { check(id); });
}

bool loss_watch::ended(request_id id)
{
    const auto found = watched_.extract(id);
    if (found.empty())
    {
        return false;
    }
    options_.timers->cancel(found.mapped().timer);
    return found.mapped().target_answered;
}

void loss_watch::check(request_id id)
{
    watched& late = watched_.at(id);
    late.interval *= interval_growth;
    late.timer = options_.timers->schedule_after(late.interval, [this, id] { check(id); });
    if (!checking_.contains(late.target))
    {
        ask(target_key(late.target), 0);
    }
}

void loss_watch::ask(const target_key& target, std::uint32_t silent_before)
{
    const time_point asked_at = options_.timers->now();
    checking_[target] = {
        .asked_at = asked_at,
        .timer = options_.timers->schedule_after(
            options_.answer_time, [this, target] { on_silence(target); }),
        .silent_before = silent_before};
    const auto alive = std::weak_ptr(alive_);
    if (silent_before > 0)
    {
        options_.reach(
            target,
            [this, target, asked_at, alive]
            {
                if (!alive.expired())
                {
                    end_wait(target, asked_at);
                }
            });
        return;
    }
    options_.probe(
        target,
        [this, target, asked_at, alive](const probe_report& report)
        {
            // A check that fails at once tells nothing of the request: a busy target resets further
            // connections, and one that crashed has reset the connection of the request, too.
            if (!alive.expired() && end_wait(target, asked_at) && report.answered)
            {
                take_report(target, asked_at, report);
            }
        });
}

bool loss_watch::end_wait(const target_key& target, time_point asked_at)
{
    const auto found = checking_.find(target);
    if (found == checking_.end() || found->second.asked_at != asked_at)
    {
        return false;
    }
    options_.timers->cancel(found->second.timer);
    checking_.erase(found);
    return true;
}

void loss_watch::on_silence(const target_key& target)
{
    const pending_check ended = checking_.extract(target).mapped();
    const time_point due = ended.asked_at + options_.answer_time;
    const bool paused = options_.timers->now() - due > pause;
    const std::uint32_t silent = paused ? 0 : ended.silent_before + 1;
    if (silent >= silent_questions)
    {
        give_up(arrived_at(target, ended.asked_at), loss_cause::target_silent);
        return;
    }
    ask(target, silent);
}

std::vector<request_id> loss_watch::arrived_at(const target_key& target, time_point asked_at) const
{
    std::vector<std::pair<time_point, request_id>> by_age;
    for (const auto& [id, each] : watched_)
    {
        if (each.target == target && each.sent_at + arrival_time <= asked_at)
        {
            by_age.emplace_back(each.sent_at, id);
        }
    }
    std::sort(by_age.begin(), by_age.end());
    std::vector<request_id> requests;
    requests.reserve(by_age.size());
    for (const auto& [at, id] : by_age)
    {
        requests.push_back(id);
    }
    return requests;
}

void loss_watch::take_report(
    const target_key& target, time_point asked_at, const probe_report& report)
{
    std::vector<request_id> requests = arrived_at(target, asked_at);
    if (!report.name.empty() && report.name != target.second)
    {
        give_up(requests, loss_cause::target_replaced);
        return;
    }
    for (const request_id id : requests)
    {
        watched_.at(id).target_answered = true;
    }
    if (!report.load)
    {
        return;
    }
    const std::size_t there = std::size_t{report.load->running} + report.load->queued;
    if (there < requests.size())
    {
        // A dropped request stays while later ones are answered, so the oldest are the missing
        // ones.
        requests.resize(requests.size() - there);
        confirm_missing(requests);
    }
}

void loss_watch::confirm_missing(const std::vector<request_id>& requests)
{
    options_.timers->schedule_after(
        confirmation_time,
        [this, requests, alive = std::weak_ptr(alive_)]
        {
            if (!alive.expired())
            {
                give_up(requests, loss_cause::not_at_target);
            }
        });
}

void loss_watch::give_up(const std::vector<request_id>& requests, loss_cause cause)
{
    for (const request_id id : requests)
    {
        // Giving up one request may end others.
        const auto found = watched_.extract(id);
        if (!found.empty())
        {
            options_.timers->cancel(found.mapped().timer);
            options_.lost(id, cause);
        }
    }
}

} // namespace catkintally::core
