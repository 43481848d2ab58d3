#include <catkintally/core/admission/lost_request_detector.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

/// A request sent at least this long before a check has arrived at the target by the time it
/// answers the check.
constexpr duration arrival_time = milliseconds(20);

/// Time after which a target is checked again if it reports too few requests. An answer that the
/// target sent before the first check arrives by then, and a target that was paused reads what had
/// arrived meanwhile.
constexpr duration confirmation_time = milliseconds(20);

/// Consecutive checks without an answer after which a target is considered silent: one health
/// check, which a full target may leave unanswered for a while, and two connection attempts, since
/// one may fail because of a lost packet.
constexpr std::uint32_t max_unanswered_checks = 3;

/// If a timer fires more than this late, this process was paused and may not have read the answer.
constexpr duration pause_threshold = milliseconds(10);

/// Factor by which the interval between two checks of a request grows if its target answers.
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
    case loss_cause::slow:
        return "slow";
    case loss_cause::not_at_target:
        break;
    }
    return "not_at_target";
}

lost_request_detector::lost_request_detector(lost_request_detector_options options)
    : options_(std::move(options))
{
    assert(
        options_.timers != nullptr && options_.probe && options_.try_connect && options_.on_lost);
}

lost_request_detector::~lost_request_detector()
{
    for (const auto& [id, each] : watched_)
    {
        options_.timers->cancel(each.timer);
    }
    for (const auto& [target, pending] : checks_)
    {
        options_.timers->cancel(pending.timer);
    }
}

void lost_request_detector::add_request(
    request_id id, const target_key& target, duration check_delay)
{
    assert(check_delay > duration::zero() && !watched_.contains(id));
    watched_request& added = watched_[id];
    added.target = target;
    added.sent_at = options_.timers->now();
    added.interval = check_delay;
    added.timer = options_.timers->schedule_after(check_delay, [this, id] { on_check_due(id); });
}

void lost_request_detector::note_sent(request_id id)
{
    const auto found = watched_.find(id);
    if (found != watched_.end())
    {
        found->second.sent_at = options_.timers->now();
        found->second.missing = false;
    }
}

void lost_request_detector::note_restart(request_id id)
{
    const auto found = watched_.find(id);
    if (found != watched_.end())
    {
        found->second.before_restart = true;
    }
}

bool lost_request_detector::remove_request(request_id id)
{
    const auto found = watched_.extract(id);
    if (found.empty())
    {
        return false;
    }
    options_.timers->cancel(found.mapped().timer);
    return found.mapped().target_answered;
}

void lost_request_detector::on_check_due(request_id id)
{
    watched_request& request = watched_.at(id);
    request.interval *= interval_growth;
    request.timer =
        options_.timers->schedule_after(request.interval, [this, id] { on_check_due(id); });
    if (!checks_.contains(request.target))
    {
        start_check(target_key(request.target), 0);
    }
}

void lost_request_detector::start_check(const target_key& target, std::uint32_t unanswered_before)
{
    const time_point started_at = options_.timers->now();
    checks_[target] = {
        .started_at = started_at,
        .timer = options_.timers->schedule_after(
            options_.check_timeout, [this, target] { on_check_timeout(target); }),
        .unanswered_before = unanswered_before};
    const auto alive = std::weak_ptr(alive_);
    if (unanswered_before > 0)
    {
        options_.try_connect(
            target,
            [this, target, started_at, alive]
            {
                if (!alive.expired())
                {
                    end_check(target, started_at);
                }
            });
        return;
    }
    options_.probe(
        target,
        [this, target, started_at, alive](const probe_report& report)
        {
            // A check that fails at once says nothing about the request: a busy target resets
            // further connections, and a crashed one has also reset the connection of the request.
            if (!alive.expired() && end_check(target, started_at) && report.answered)
            {
                on_probe_report(target, started_at, report);
            }
        });
}

bool lost_request_detector::end_check(const target_key& target, time_point started_at)
{
    const auto found = checks_.find(target);
    if (found == checks_.end() || found->second.started_at != started_at)
    {
        return false;
    }
    options_.timers->cancel(found->second.timer);
    checks_.erase(found);
    return true;
}

void lost_request_detector::on_check_timeout(const target_key& target)
{
    const pending_check timed_out = checks_.extract(target).mapped();
    const time_point due = timed_out.started_at + options_.check_timeout;
    const bool paused = options_.timers->now() - due > pause_threshold;
    const std::uint32_t unanswered = paused ? 0 : timed_out.unanswered_before + 1;
    if (unanswered >= max_unanswered_checks)
    {
        report_lost(arrived_before(target, timed_out.started_at), loss_cause::target_silent);
        return;
    }
    start_check(target, unanswered);
}

std::vector<request_id>
lost_request_detector::arrived_before(const target_key& target, time_point started_at) const
{
    std::vector<std::pair<time_point, request_id>> by_age;
    for (const auto& [id, each] : watched_)
    {
        if (each.target == target && each.sent_at + arrival_time <= started_at)
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

void lost_request_detector::on_probe_report(
    const target_key& target, time_point started_at, const probe_report& report)
{
    std::vector<request_id> requests = arrived_before(target, started_at);
    if (!report.name.empty() && report.name != target.second)
    {
        report_lost(requests, loss_cause::target_replaced);
        return;
    }
    const auto end = std::stable_partition(
        requests.begin(), requests.end(),
        [this](request_id id) { return !watched_.at(id).before_restart; });
    const std::vector<request_id> before_restart(end, requests.end());
    requests.erase(end, requests.end());
    for (const request_id id : requests)
    {
        watched_.at(id).target_answered = true;
    }
    const std::vector<request_id> missing =
        report.load ? missing_twice(target, *report.load, requests) : std::vector<request_id>();
    report_lost(before_restart, loss_cause::target_replaced);
    report_lost(missing, loss_cause::not_at_target);
}

std::vector<request_id> lost_request_detector::missing_twice(
    const target_key& target, const load_report& load, const std::vector<request_id>& requests)
{
    const std::size_t at_target = std::size_t{load.running} + load.queued;
    const std::size_t missing = requests.size() - std::min(at_target, requests.size());
    // A dropped request stays on the list while later ones are answered, so the oldest requests are
    // the missing ones.
    std::vector<request_id> lost;
    bool confirm = false;
    for (std::size_t index = 0; index < requests.size(); ++index)
    {
        watched_request& request = watched_.at(requests[index]);
        const bool was_missing = std::exchange(request.missing, index < missing);
        if (request.missing && was_missing)
        {
            lost.push_back(requests[index]);
        }
        confirm = confirm || (request.missing && !was_missing);
    }
    if (confirm)
    {
        schedule_confirmation(target);
    }
    return lost;
}

void lost_request_detector::schedule_confirmation(const target_key& target)
{
    options_.timers->schedule_after(
        confirmation_time,
        [this, target, alive = std::weak_ptr(alive_)]
        {
            if (!alive.expired() && !checks_.contains(target) &&
                std::any_of(
                    watched_.begin(), watched_.end(),
                    [&](const auto& each)
                    { return each.second.target == target && each.second.missing; }))
            {
                start_check(target, 0);
            }
        });
}

void lost_request_detector::report_lost(const std::vector<request_id>& requests, loss_cause cause)
{
    for (const request_id id : requests)
    {
        // The callback for one request may end others.
        const auto found = watched_.extract(id);
        if (!found.empty())
        {
            options_.timers->cancel(found.mapped().timer);
            options_.on_lost(id, cause);
        }
    }
}

} // namespace catkintally::core
