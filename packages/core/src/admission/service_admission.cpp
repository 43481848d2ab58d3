#include <catkintally/core/admission/service_admission.hpp>

#include <catkintally/core/admission/wait_estimate.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{
namespace
{

using namespace std::chrono_literals;

/// A queued request that must not run twice is refused, not run, when less than this many further
/// typical times are left. Work has a heavy tail: granted later, it often passes its deadline while
/// it runs, and its outcome is unknown.
constexpr int unknown_outcome_reserve = 7;

/// How long after its deadline a place without a completion is still counted. Covers the way of the
/// completion and the validity of the grant; a place is never returned while the request may run.
constexpr duration expiry_grace = 500ms;

} // namespace

service_admission::service_admission(service_admission_options options)
    : options_(std::move(options))
    , choice_(options_.seed)
{
    assert(options_.timers && options_.decide);
}

service_admission::~service_admission()
{
    if (timer_ != 0)
    {
        options_.timers->cancel(timer_);
    }
}

void service_admission::apply(const service_config& config, const table_snapshot& table)
{
    const time_point now = options_.timers->now();
    config_ = config;
    retries_.set_percent(config.service.retry_budget_percent);
    probes_.set_rate(config.service.probe_budget_per_s);

    targets_.remove_unlisted(config, now);
    for (const target_row& row : config.targets)
    {
        const bool available = takes_new_work(row, table);
        observe(
            targets_.find_or_add(row),
            [&](target_admission& target) { target.update(row, available, now); });
    }
    refuse_unplaceable();
    update();
}

void service_admission::submit(const admission_request& request)
{
    update();

    // The same application again: the answer was lost, or a retry overtook its completion.
    if (const grant_table::grant* known = grants_.find(request.id))
    {
        const auto& excluded = request.excluded_targets;
        const std::string target = known->target;
        if (std::find(excluded.begin(), excluded.end(), target) == excluded.end())
        {
            options_.decide(
                {.id = request.id,
                 .instance = request.instance,
                 .code = decision_code::granted,
                 .target = target,
                 .retry_after = {}});
            return;
        }
        cancel(request.id);
    }
    if (queue_.contains(request.id))
    {
        return;
    }

    const time_point now = options_.timers->now();
    if (crashes_.is_refused(request.fingerprint, request.key, now))
    {
        refuse(
            request, decision_code::refused_crashing_request,
            crashing_request_detector::retention_time);
        return;
    }
    if (request.retry && !retries_.take())
    {
        refuse(request, decision_code::refused_retry_budget, min_overload_wait);
        return;
    }
    const wait_estimate expected =
        estimate_wait(targets_.all(), queue_, times_, config_.service, input_for(request));
    if (expected.refusal)
    {
        if (request.retry)
        {
            retries_.refund();
        }
        refuse(request, *expected.refusal, expected.retry_after);
        return;
    }
    if (!request.retry)
    {
        retries_.admitted();
    }
    if (target_admission* target = choose(request))
    {
        grant_place(request, *target);
    }
    else
    {
        queue_.push(
            {.request = request,
             .work = config_.service.work,
             .deadline = now + request.deadline_left,
             .reserve = request.idempotent ? duration::zero() : reserve_before_deadline()});
        place_queued();
    }
    arm();
}

void service_admission::cancel(request_id id)
{
    if (queue_.remove(id))
    {
        return;
    }
    if (grants_.find(id))
    {
        return_place(id);
        update();
    }
}

void service_admission::complete(const completion_report& report)
{
    const time_point now = options_.timers->now();
    target_admission* target = targets_.find(report.target);
    if (report.id == 0)
    {
        if (target)
        {
            observe(*target, [&](target_admission& t) { t.record_probe(report, now); });
            update();
        }
        return;
    }
    // A late report of an earlier attempt names another target and returns nothing.
    const grant_table::grant* known = grants_.find(report.id);
    if (!known || known->target != report.target)
    {
        return;
    }
    const grant_table::grant ended = *known;
    if (report.outcome == completion_outcome::connection_lost && !ended.crash_counted)
    {
        grants_.record_target_crash(report.target, crashes_, now);
    }
    const auto place = return_place(report.id);
    assert(target && place);
    if (report.outcome == completion_outcome::answered)
    {
        crashes_.answered(ended.fingerprint, ended.key);
    }
    observe(
        *target,
        [&](target_admission& t)
        {
            ejections_prevented_ +=
                t.record_completion(*place, report, times_, now, targets_.may_eject(t)) ? 1 : 0;
        });
    if (report.outcome == completion_outcome::answered)
    {
        times_.add(now - place->started);
    }
    update();
}

void service_admission::restore_grant(
    request_id id, const std::string& target, duration deadline_left)
{
    if (grants_.find(id))
    {
        return;
    }
    const time_point now = options_.timers->now();
    grants_.add(
        id, {.target = target,
             .key = {},
             .fingerprint = 0,
             .expires = now + deadline_left + expiry_grace});
    // A target that is not in the table any more counts its places in case its row comes back.
    target_row row;
    row.name = target;
    targets_.find_or_add(row).add(id, now, false);
    arm();
}

void service_admission::restore_phase(
    const std::string& target, target_phase phase, std::uint32_t limit)
{
    if (target_admission* known = targets_.find(target))
    {
        const time_point now = options_.timers->now();
        observe(*known, [&](target_admission& t) { t.restore(phase, limit, now); });
        update();
    }
}

void service_admission::block_cold_until(time_point until)
{
    cold_blocked_until_ = until;
    update();
}

std::vector<admission_request> service_admission::take_queue()
{
    const time_point now = options_.timers->now();
    std::vector<admission_request> requests;
    for (queued_request& entry : queue_.take_all())
    {
        entry.request.deadline_left = entry.deadline - now;
        requests.push_back(std::move(entry.request));
    }
    return requests;
}

std::vector<wire::target_state_data> service_admission::phases() const
{
    std::vector<wire::target_state_data> states;
    for (const target_row& row : config_.targets)
    {
        if (const target_admission* target = targets_.find(row.name))
        {
            wire::target_state_data state;
            state.target = row.name;
            state.phase = target->phase();
            state.limit = target->phase() == target_phase::warm ? row.slots : target->phase_limit();
            state.address = row.address;
            states.push_back(std::move(state));
        }
    }
    return states;
}

service_admission_dump service_admission::dump() const
{
    const time_point now = options_.timers->now();
    service_admission_dump copy;
    copy.service = options_.service;
    copy.version = config_.version;
    for (const auto& target : targets_.all())
    {
        copy.targets.push_back(
            {.name = target->row().name,
             .failure_domain = target->row().failure_domain,
             .phase = target->phase(),
             .limit = target->available() ? target->limit(config_.service.ahead, now) : 0,
             .in_flight = static_cast<std::uint32_t>(target->in_flight_requests().size()),
             .available = target->available(),
             .reports_draining = target->reports_draining(),
             .consecutive_failures = target->failures()});
    }
    copy.queued_front = static_cast<std::uint32_t>(queue_.front_size());
    copy.queued_archive = static_cast<std::uint32_t>(queue_.archive_size());
    copy.decisions = decisions_;
    copy.retry_tokens = retries_.tokens();
    copy.probes_sent = probes_.sent();
    copy.probes_delayed = probes_.delayed();
    copy.ejections = ejections_;
    copy.ejections_prevented = ejections_prevented_;
    copy.places_expired = places_expired_;
    copy.crashing_requests = crashes_.refused_count(now);
    copy.typical_time_us = static_cast<std::uint64_t>(times_.median().count());
    return copy;
}

void service_admission::grant_place(const admission_request& request, target_admission& target)
{
    const time_point now = options_.timers->now();
    assert(target.occupied(now) < target.limit(config_.service.ahead, now));
    target.add(request.id, now, crashes_.is_suspect(request.fingerprint, request.key, now));
    grants_.add(
        request.id, {.target = target.row().name,
                     .key = request.key,
                     .fingerprint = request.fingerprint,
                     .expires = now + request.deadline_left + expiry_grace});
    ++decisions_[static_cast<std::size_t>(decision_code::granted)];
    options_.decide(
        {.id = request.id,
         .instance = request.instance,
         .code = decision_code::granted,
         .target = target.row().name,
         .retry_after = {}});
}

void service_admission::refuse(
    const admission_request& request, decision_code code, duration retry_after)
{
    ++decisions_[static_cast<std::size_t>(code)];
    options_.decide(
        {.id = request.id,
         .instance = request.instance,
         .code = code,
         .target = {},
         .retry_after = retry_after});
}

std::uint32_t service_admission::ahead() const
{
    // A request that waits ahead is bound to one target; in the queue it gets the first free place
    // of all. Only a longer queue makes up for the slots that idle while a completion travels.
    const std::size_t pressed = std::min(targets_.warm_slots() / 2, config_.service.queue_limit);
    return queue_.size() >= pressed ? config_.service.ahead : 0;
}

target_admission* service_admission::choose(const admission_request& request)
{
    return choice_.choose(targets_.all(), input_for(request));
}

choice_input service_admission::input_for(const admission_request& request) const
{
    const time_point now = options_.timers->now();
    return {
        .request = request,
        .times = times_,
        .suspect = crashes_.is_suspect(request.fingerprint, request.key, now),
        .ahead = ahead(),
        .now = now,
        .cold_blocked_until = cold_blocked_until_};
}

void service_admission::update()
{
    const time_point now = options_.timers->now();
    expire_places();
    for (const auto& target : targets_.all())
    {
        if (target->phase() == target_phase::warm)
        {
            observe(*target, [&](target_admission& t) { t.update_slow_phase(times_, now); });
        }
    }
    refuse_late();
    place_queued();
    send_probes();
    arm();
}

void service_admission::expire_places()
{
    while (const auto id = grants_.expired(options_.timers->now()))
    {
        return_place(*id);
        ++places_expired_;
    }
}

std::optional<target_admission::place> service_admission::return_place(request_id id)
{
    target_admission* target = targets_.find(grants_.find(id)->target);
    grants_.remove(id);
    return target ? target->remove(id, options_.timers->now()) : std::nullopt;
}

duration service_admission::reserve_before_deadline() const
{
    return times_.ready() ? unknown_outcome_reserve * times_.median() : assumed_late_bound;
}

void service_admission::refuse_late()
{
    while (const auto entry = queue_.pop_due(options_.timers->now() + times_.median()))
    {
        refuse(entry->request, decision_code::refused_deadline, min_overload_wait);
    }
}

void service_admission::refuse_unplaceable()
{
    // The table may have taken away the last target that a waiting request could use.
    for (queued_request& entry : queue_.take_all())
    {
        const choice_input input = input_for(entry.request);
        const bool placeable = std::any_of(
            targets_.all().begin(), targets_.all().end(),
            [&](const auto& target)
            { return target_choice::allowed(*target, input, time_point::max()); });
        if (placeable)
        {
            queue_.push(std::move(entry));
        }
        else
        {
            refuse(entry.request, decision_code::refused_no_target, no_target_wait);
        }
    }
}

void service_admission::place_queued()
{
    while (queue_.size() > 0 && targets_.any_free(ahead(), options_.timers->now()))
    {
        target_admission* target = nullptr;
        auto entry = queue_.pop(
            [&](const queued_request& waiting)
            {
                target = choose(waiting.request);
                return target != nullptr;
            });
        if (!entry)
        {
            return;
        }
        entry->request.deadline_left = entry->deadline - options_.timers->now();
        grant_place(entry->request, *target);
    }
}

void service_admission::send_probes()
{
    while (options_.probe)
    {
        const target_admission* target = probes_.take(targets_.all(), options_.timers->now());
        if (!target)
        {
            return;
        }
        options_.probe(target->row().name);
    }
}

void service_admission::arm()
{
    const time_point now = options_.timers->now();
    std::optional<time_point> next;
    const auto consider = [&](std::optional<time_point> at)
    {
        if (at)
        {
            next = std::min(next.value_or(*at), *at);
        }
    };
    consider(grants_.next_expiry());
    if (queue_.size() > 0)
    {
        consider(*queue_.earliest_deadline() - times_.median());
        consider(targets_.next_change(now));
        if (cold_blocked_until_ > now)
        {
            consider(cold_blocked_until_);
        }
    }
    if (options_.probe)
    {
        consider(probes_.next_time(targets_.all()));
    }

    // An earlier timer that is already set only leads to one more update.
    if (!next || (timer_ != 0 && timer_due_ <= *next))
    {
        return;
    }
    if (timer_ != 0)
    {
        options_.timers->cancel(timer_);
    }
    timer_due_ = std::max(*next, now);
    timer_ = options_.timers->schedule_after(
        timer_due_ - now,
        [this]
        {
            timer_ = 0;
            update();
        });
}

template <class change_type>
void service_admission::observe(target_admission& target, change_type change)
{
    const target_phase phase = target.phase();
    const std::uint32_t limit = target.phase_limit();
    change(target);
    if (target.phase() == phase && target.phase_limit() == limit)
    {
        return;
    }
    if (target.phase() == target_phase::ejected && phase != target_phase::ejected)
    {
        ++ejections_;
    }
    if (options_.phase_changed)
    {
        options_.phase_changed(target.row().name);
    }
}

} // namespace catkintally::core
