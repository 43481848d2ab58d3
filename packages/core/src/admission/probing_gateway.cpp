#include <catkintally/core/admission/probing_gateway.hpp>

#include <catkintally/core/admission/target_set.hpp>
#include <catkintally/core/admission/target_subset.hpp>

#include <algorithm>
#include <cassert>
#include <functional>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

/// Probe rounds for one request. Three rounds reach most targets of a small service.
constexpr std::uint32_t max_rounds = 3;

/// A target with a free slot whose relative time is at most this multiple of the service's baseline
/// slowdown is chosen without waiting for the remaining probe reports.
constexpr double immediate_choice_slowdown = 1.2;

/// Delay before a request that found no acceptable slot probes again. Slots become free and target
/// speeds change within a fraction of the time that work takes, which is tens of milliseconds.
constexpr duration reprobe_interval = milliseconds(30);

/// Fraction of the latency objective for which a request keeps probing. After that, work that takes
/// the remaining fraction would miss the objective.
constexpr double probing_time_fraction = 0.5;

/// How long requests without an objective keep probing.
constexpr duration default_probing_time = milliseconds(100);

/// If no target has answered any probe, the last round is extended by this many probe timeouts
/// before the request is refused.
constexpr int final_wait_factor = 10;

/// How long a grant may be used; longer than it takes to establish a connection.
constexpr duration grant_validity = std::chrono::seconds(1);

/// Fraction of the fleet-wide retry allowance that is divided among the known instances; the rest
/// is reserved for instances that are not known yet.
constexpr double assigned_retry_fraction = 0.8;

/// Retry-after times of refusals are randomised over this range, so that refused callers do not all
/// retry at the same moment.
constexpr duration min_retry_after = milliseconds(200);
constexpr duration retry_after_spread = milliseconds(300);

} // namespace

probing_gateway::probing_gateway(probing_gateway_options options)
    : options_(std::move(options))
    , lost_request_detector_(
          {.timers = options_.timers,
           .probe = [this](const target_key& key, std::function<void(probe_report)> done)
           { check_target(key, std::move(done)); },
           .try_connect = [this](const target_key& key, std::function<void()> completed)
           { try_connect_target(key, [completed = std::move(completed)](bool) { completed(); }); },
           .on_lost = [this](request_id id, loss_cause cause) { handle_loss(id, cause); }})
    , hedges_(options_.hedging)
    , crashes_(claimant_number(options_.self, options_.seed))
    , shortage_(
          {.min_slots = options_.shortage_min_slots,
           .seed = options_.seed,
           .organisation_rate = options_.organisation_rate})
    , random_(options_.seed)
{
    assert(options_.timers != nullptr && options_.probe && options_.try_connect);
}

probing_gateway::~probing_gateway()
{
    for (const auto& [id, admission] : pending_admissions_)
    {
        options_.timers->cancel(admission.timer);
    }
}

admission_gateway probing_gateway::gateway()
{
    return {
        .ask = [this](admission_request request, admission_callback answer)
        { ask(std::move(request), std::move(answer)); },
        .cancel =
            [this](request_id id)
        {
            const auto found = pending_admissions_.find(id);
            if (found != pending_admissions_.end())
            {
                options_.timers->cancel(found->second.timer);
                stop_waiting_for_token(found->second);
                if (found->second.request.retry)
                {
                    retry_budgets_[found->second.request.service].refund();
                }
                pending_admissions_.erase(found);
            }
        },
        .may_send = [this](request_id id) { return may_send(id); },
        .watch = [this](request_id id, std::function<void(loss_cause)> on_lost)
        { watch(id, std::move(on_lost)); },
        .complete =
            [this](const completion_report& report, const std::shared_ptr<const stored_answer>&)
        { complete(report); }};
}

void probing_gateway::apply(std::shared_ptr<const table_snapshot> table)
{
    const auto now = options_.timers->now();
    table_ = std::move(table);
    if (options_.limiter != nullptr)
    {
        options_.limiter->apply(table_);
    }
    std::map<target_key, target_state> kept;
    for (const auto& [name, config] : table_->services)
    {
        retry_budget& budget = retry_budgets_[name];
        budget.set_percent(config.service.retry_budget_percent);
        for (const target_row& target : config.targets)
        {
            const target_key key(name, target.name);
            auto known = targets_.extract(key);
            if (!known.empty() && known.mapped().incarnation == target.incarnation)
            {
                kept.insert(std::move(known));
                continue;
            }
            target_state& added = kept[key];
            added.incarnation = target.incarnation;
            added.rank = target_rank(options_.self, target.name);
            added.health.set_cold_until(now + target.warmup_remaining);
        }
    }
    targets_ = std::move(kept);
    for (const auto& [id, each] : grants_)
    {
        if (has_restarted(each))
        {
            lost_request_detector_.note_restart(id);
        }
    }
    barriers_.remove_unlisted(*table_, now);
    shortage_.apply(*table_);
    std::erase_if(
        slowdown_windows_,
        [this](const auto& each) { return !table_->services.contains(each.first); });
    std::erase_if(
        overflows_, [this](const auto& each) { return !table_->services.contains(each.first); });
}

const service_config* probing_gateway::service(const std::string& name) const
{
    const auto found = table_->services.find(name);
    return found == table_->services.end() ? nullptr : &found->second;
}

const target_row* probing_gateway::find_row(const target_key& key) const
{
    return find_target(*table_, key.first, key.second);
}

void probing_gateway::ask(admission_request request, admission_callback answer)
{
    const request_id id = request.id;
    assert(!grants_.contains(id) && !pending_admissions_.contains(id));
    const fleet_size size = fleet();
    retry_budget& budget = retry_budgets_[request.service];
    budget.set_cap(std::max(
        1.0, options_.retry_slack * assigned_retry_fraction /
                 static_cast<double>(size.near + size.far)));
    const bool allowed = !request.retry || budget.take();
    if (options_.limiter != nullptr)
    {
        options_.limiter->record_request(request.service);
    }
    pending_admission& admission = pending_admissions_[id];
    admission.request = std::move(request);
    admission.callback = std::move(answer);
    admission.submitted_at = options_.timers->now();
    const auto probing_time = std::chrono::duration_cast<duration>(
        admission.request.objective_left * probing_time_fraction);
    admission.terms = shortage_.admit(admission.request, admission.submitted_at);
    admission.probe_until =
        admission.submitted_at +
        admission.terms.probing_time.value_or(
            probing_time > duration::zero() ? probing_time : default_probing_time);
    if (!allowed)
    {
        finish(id, decision_code::refused_retry_budget, nullptr, random_retry_after());
        return;
    }
    if (admission.terms.refused && !crashes_.refused().contains(admission.request.fingerprint))
    {
        finish(id, decision_code::refused_deadline, nullptr, random_retry_after());
        return;
    }
    check_for_crashes(id);
}

void probing_gateway::start_probe_round(request_id id)
{
    pending_admission& admission = pending_admissions_.at(id);
    stop_waiting_for_token(admission);
    const usable_targets usable = candidates(admission);
    const auto chosen = choose_probe_targets(admission, usable);
    const bool only_limited = usable.limited > 0 && usable.cold == 0;
    if (chosen.empty() && admission.probes.empty() && only_limited)
    {
        wait_for_token(id);
        return;
    }
    if (chosen.empty())
    {
        admission.round = max_rounds;
        decide(id);
        return;
    }
    ++admission.round;
    admission.timer =
        options_.timers->schedule_after(options_.probe_timeout, [this, id] { decide(id); });
    const service_config& config = *service(admission.request.service);
    const auto now = options_.timers->now();
    const std::uint32_t round = admission.round;
    for (const target_row* target : chosen)
    {
        probe_attempt& added = admission.probes.emplace_back();
        added.name = target->name;
        added.probed_at = now;
        added.result.name = target->name;
    }
    for (const target_row* target : chosen)
    {
        ++probes_;
        const target_key key(config.service.name, target->name);
        options_.probe(
            config, *target,
            [this, id, round, key, alive = std::weak_ptr(alive_)](probe_report report)
            {
                if (!alive.expired())
                {
                    on_probe_report(id, round, key, std::move(report));
                }
            });
    }
}

void probing_gateway::update_target_state(const target_key& key, const probe_report& report)
{
    const auto known = targets_.find(key);
    if (known == targets_.end())
    {
        return;
    }
    const bool wrong_name = !report.name.empty() && report.name != key.second;
    if (!report.answered || wrong_name)
    {
        report_failure(key);
        return;
    }
    observe_limit(key, report.limit, options_.timers->now() - report.took, false);
    note_statements(key, report.leaving, report.pause);
    known->second.last_load = report.load;
    known->second.last_load_at = options_.timers->now();
    known->second.health.answered();
    known->second.health.set_cold_until(options_.timers->now() + report.warmup_remaining);
    if (report.load)
    {
        slowdown_windows_[key.first].add(report.load->slowdown, options_.timers->now());
    }
}

void probing_gateway::on_probe_report(
    request_id id, std::uint32_t round, const target_key& key, probe_report report)
{
    update_target_state(key, report);
    record_probe_outcome(key, report);
    const auto found = pending_admissions_.find(id);
    if (found == pending_admissions_.end() || found->second.round < round)
    {
        return;
    }
    pending_admission& admission = found->second;
    const auto attempt = std::find_if(
        admission.probes.begin(), admission.probes.end(),
        [&](const probe_attempt& each) { return each.name == key.second; });
    if (attempt == admission.probes.end() || !attempt->result.pending)
    {
        return;
    }
    attempt->result.pending = false;
    attempt->result.report = std::move(report);
    attempt->result.round_trip = options_.timers->now() - attempt->probed_at;
    const probe_attempt* best = find_best(admission);
    const double baseline = baseline_slowdown(admission.request.service);
    const bool accept_now = best != nullptr && best->result.estimate.relative_time <=
                                                   immediate_choice_slowdown * baseline;
    const bool all_reported = std::none_of(
        admission.probes.begin(), admission.probes.end(),
        [](const probe_attempt& each) { return each.result.pending; });
    if (accept_now || all_reported)
    {
        decide(id);
    }
}

void probing_gateway::decide(request_id id)
{
    pending_admission& admission = pending_admissions_.at(id);
    options_.timers->cancel(std::exchange(admission.timer, 0));
    const probe_attempt* best = find_best(admission);
    const double baseline = baseline_slowdown(admission.request.service);
    const bool acceptable = best != nullptr && is_acceptable(*best, baseline);
    if (!acceptable && admission.round < max_rounds)
    {
        start_probe_round(id);
        return;
    }
    const auto count_pending = std::count_if(
        admission.probes.begin(), admission.probes.end(),
        [](const probe_attempt& each) { return each.result.pending; });
    const bool none_answered =
        !admission.probes.empty() && std::cmp_equal(count_pending, admission.probes.size());
    if (none_answered && admission.round == max_rounds)
    {
        ++admission.round;
        admission.timer = options_.timers->schedule_after(
            options_.probe_timeout * final_wait_factor, [this, id] { decide(id); });
        return;
    }
    if (!acceptable && !none_answered && has_available_target(admission.request.service) &&
        options_.timers->now() + reprobe_interval < admission.probe_until)
    {
        schedule_next_probe(id);
        return;
    }
    if (best != nullptr)
    {
        const target_row* target = find_row({admission.request.service, best->name});
        finish(id, decision_code::granted, target, duration::zero());
        return;
    }
    if (is_blocked_by_limit(admission))
    {
        const duration retry_after = options_.limiter->retry_after(admission.request.service);
        finish(id, decision_code::refused_target_limit, nullptr, retry_after);
        return;
    }
    if (const auto pause = pause_retry_after(admission.request.service))
    {
        finish(id, decision_code::refused_target_paused, nullptr, *pause);
        return;
    }
    const bool any_answered = std::any_of(
        admission.probes.begin(), admission.probes.end(),
        [](const probe_attempt& each) { return each.result.report.answered; });
    finish(
        id, any_answered ? decision_code::refused_queue_full : decision_code::refused_no_target,
        nullptr,
        shortage_.retry_after(
            admission.request, admission.terms, random_retry_after(), options_.timers->now()));
}

void probing_gateway::schedule_next_probe(request_id id)
{
    pending_admission& admission = pending_admissions_.at(id);
    shortage_.record_pass(admission.request.service, false, options_.timers->now());
    admission.round = 0;
    admission.probes.clear();
    admission.timer = options_.timers->schedule_after(
        std::max<duration>(
            reprobe_interval * (1 + admission.terms.rank), admission.terms.min_probe_interval),
        [this, id] { start_probe_round(id); });
}

duration probing_gateway::random_spread()
{
    const auto spread = static_cast<std::uint64_t>(retry_after_spread.count());
    return duration(static_cast<duration::rep>(random_.next() % spread));
}

duration probing_gateway::random_retry_after()
{
    return min_retry_after + random_spread();
}

void probing_gateway::finish(
    request_id id, decision_code code, const target_row* target, duration retry_after)
{
    const auto owned = pending_admissions_.extract(id);
    pending_admission& admission = owned.mapped();
    options_.timers->cancel(admission.timer);
    const auto now = options_.timers->now();
    retry_budget& budget = retry_budgets_[admission.request.service];
    if (!admission.request.retry)
    {
        hedges_.note_decision(
            admission.request.service, now - admission.submitted_at, target != nullptr);
    }
    if (target != nullptr || code == decision_code::refused_queue_full)
    {
        shortage_.record_pass(admission.request.service, target != nullptr, now);
        shortage_.record_decision(admission.request, admission.terms, target != nullptr, now);
    }
    if (target != nullptr)
    {
        const target_key key(admission.request.service, target->name);
        grants_[id] = {
            .target = key,
            .incarnation = target->incarnation,
            .granted_at = now,
            .objective_left = admission.request.objective_left,
            .trace_id = admission.request.trace_id,
            .fingerprint = admission.request.fingerprint,
            .may_hedge = admission.request.idempotent && !admission.request.retry,
            .priority = admission.request.priority,
            .idempotent = admission.request.idempotent,
            .nearly_full = is_nearly_full(admission, *target),
            .on_lost = nullptr};
        state(key).in_flight.insert(now);
        state(key).health.sent(now);
        record_grant(admission, *target);
        barriers_.note_grant(admission.request.service, *target, now);
        if (options_.limiter != nullptr)
        {
            options_.limiter->take(admission.request.service, *target);
        }
        if (!admission.request.retry)
        {
            budget.admitted();
        }
    }
    else if (admission.request.retry && code != decision_code::refused_retry_budget)
    {
        budget.refund();
    }
    if (options_.on_decided)
    {
        probing_decision decision;
        decision.trace_id = admission.request.trace_id;
        decision.service = admission.request.service;
        decision.code = code;
        decision.target = target == nullptr ? "" : target->name;
        decision.priority = admission.request.priority;
        decision.shortage = admission.terms;
        decision.took = now - admission.submitted_at;
        decision.table_revision = table_->revision;
        for (probe_attempt& each : admission.probes)
        {
            decision.asked.push_back(std::move(each.result));
        }
        if (code == decision_code::refused_target_limit)
        {
            decision.limits = options_.limiter->dump(admission.request.service);
        }
        options_.on_decided(decision);
    }
    admission_answer answer;
    answer.code = code;
    answer.claim = run_claim::not_run;
    answer.retry_after = retry_after;
    if (target != nullptr)
    {
        answer.target = target->name;
        answer.address = target->address;
        answer.send_before = now + grant_validity;
    }
    admission.callback(std::move(answer));
}

bool probing_gateway::may_send(request_id id)
{
    const auto found = grants_.find(id);
    if (found == grants_.end() ||
        options_.timers->now() > found->second.granted_at + grant_validity)
    {
        return false;
    }
    const target_row* target = find_row(found->second.target);
    if (target == nullptr || !takes_requests(found->second.target.first, *target) ||
        (!found->second.idempotent && is_full_since(found->second)))
    {
        return false;
    }
    lost_request_detector_.note_sent(id);
    return true;
}

void probing_gateway::complete(const completion_report& report)
{
    const auto found = grants_.find(report.id);
    if (found == grants_.end())
    {
        return;
    }
    const grant completed = found->second;
    grants_.erase(found);
    lost_request_detector_.remove_request(report.id);
    const bool executed = report.outcome == completion_outcome::answered ||
                          report.outcome == completion_outcome::answered_error;
    observe_limit(completed.target, report.limit, completed.granted_at, executed);
    note_statements(completed.target, report.leaving, report.pause);
    const auto known = targets_.find(completed.target);
    if (known == targets_.end())
    {
        return;
    }
    auto& in_flight = known->second.in_flight;
    if (const auto entry = in_flight.find(completed.granted_at); entry != in_flight.end())
    {
        in_flight.erase(entry);
    }
    switch (report.outcome)
    {
    case completion_outcome::answered:
        known->second.health.succeeded();
        hedges_.note_answer(completed.target.first, report.service_time);
        known->second.resets_since_answer = 0;
        shortage_.record_work(
            completed.target.first, completed.priority, report.service_time, completed.nearly_full);
        record_response(report);
        clear_suspicion(completed.fingerprint);
        break;
    case completion_outcome::connection_lost:
        handle_connection_lost(completed, in_flight.size());
        break;
    case completion_outcome::answered_error:
    case completion_outcome::timed_out:
        report_failure(completed.target);
        break;
    case completion_outcome::not_run:
        // Without a status no connection was established; with one, the target is merely full.
        if (report.status == 0)
        {
            refund_token(completed.target);
            if (!report.untried)
            {
                report_failure(completed.target);
            }
        }
        break;
    case completion_outcome::cancelled:
        break;
    }
}

} // namespace catkintally::core
