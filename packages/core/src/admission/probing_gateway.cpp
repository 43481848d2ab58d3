#include <catkintally/core/admission/probing_gateway.hpp>

#include <catkintally/core/admission/target_set.hpp>
#include <catkintally/core/admission/target_subset.hpp>

#include <algorithm>
#include <cassert>
#include <functional>
#include <iterator>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

/// Rounds of questions for one request. Three rounds reach most targets of a small service.
constexpr std::uint32_t max_rounds = 3;

/// A free target of the own failure domain that is at most this slow, relative to what is usual in
/// the service, is taken before the other answers are in.
constexpr double take_at_once = 1.2;

/// A free target at most this slow is taken without a further round: another round costs a round
/// trip and finds a better one only now and then.
constexpr double good_enough = 2.0;

/// A request that finds no good slot asks again after this pause. Slots come free and the speed of
/// targets changes within a fraction of the time that work takes, which is tens of milliseconds.
constexpr duration pause_between_tries = milliseconds(30);

/// It does so for this part of its objective. Later, work that takes the other part would be late.
constexpr double waiting_part = 0.5;

/// The same for requests without an objective.
constexpr duration usual_waiting = milliseconds(100);

/// Without any answer the last round waits this many times longer before the request is refused.
constexpr int last_round_factor = 10;

/// Validity of a grant; longer than a connection takes to be made.
constexpr duration validity = std::chrono::seconds(1);

/// Part of the fleet's retry allowance that is dealt out; the rest is for instances that are not
/// known yet.
constexpr double retry_part = 0.8;

/// Refused callers come back spread over this span, so that they do not return as a wave.
constexpr duration shortest_refusal = milliseconds(200);
constexpr duration refusal_spread = milliseconds(300);

} // namespace

probing_gateway::probing_gateway(probing_gateway_options options)
    : options_(std::move(options))
    , watch_(
          {.timers = options_.timers,
           .probe = [this](const target_key& key, std::function<void(probe_report)> done)
           { check_target(key, std::move(done)); },
           .reach = [this](const target_key& key, std::function<void()> ended)
           { reach_target(key, [ended = std::move(ended)](bool) { ended(); }); },
           .lost = [this](request_id id, loss_cause cause) { on_lost(id, cause); }})
    , random_(options_.seed)
{
    assert(options_.timers != nullptr && options_.probe && options_.reach);
}

probing_gateway::~probing_gateway()
{
    for (const auto& [id, asking] : applications_)
    {
        options_.timers->cancel(asking.timer);
    }
}

admission_gateway probing_gateway::gateway()
{
    return {
        .ask = [this](admission_request request, answer_hook answer)
        { ask(std::move(request), std::move(answer)); },
        .cancel =
            [this](request_id id)
        {
            const auto found = applications_.find(id);
            if (found != applications_.end())
            {
                options_.timers->cancel(found->second.timer);
                applications_.erase(found);
            }
        },
        .may_send = [this](request_id id) { return may_send(id); },
        .watch = [this](request_id id, std::function<void()> lost) { watch(id, std::move(lost)); },
        .complete =
            [this](const completion_report& report, const std::shared_ptr<const stored_answer>&)
        { complete(report); }};
}

void probing_gateway::apply(std::shared_ptr<const table_snapshot> table)
{
    const auto now = options_.timers->now();
    table_ = std::move(table);
    std::map<target_key, target_state> kept;
    for (const auto& [name, config] : table_->services)
    {
        retry_budget& budget = retries_[name];
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
    std::erase_if(
        fastest_, [this](const auto& each) { return !table_->services.contains(each.first); });
}

const service_config* probing_gateway::service(const std::string& name) const
{
    const auto found = table_->services.find(name);
    return found == table_->services.end() ? nullptr : &found->second;
}

const target_row* probing_gateway::row(const target_key& key) const
{
    return find_target(*table_, key.first, key.second);
}

void probing_gateway::ask(admission_request request, answer_hook answer)
{
    const request_id id = request.id;
    assert(!grants_.contains(id) && !applications_.contains(id));
    const fleet_size size = fleet();
    retry_budget& budget = retries_[request.service];
    budget.set_cap(std::max(
        1.0, options_.retry_slack * retry_part / static_cast<double>(size.near + size.far)));
    const bool allowed = !request.retry || budget.take();
    application& asking = applications_[id];
    asking.request = std::move(request);
    asking.answer = std::move(answer);
    asking.since = options_.timers->now();
    const auto part =
        std::chrono::duration_cast<duration>(asking.request.objective_left * waiting_part);
    asking.try_until = asking.since + (part > duration::zero() ? part : usual_waiting);
    if (!allowed)
    {
        finish(id, decision_code::refused_retry_budget, nullptr, refusal_wait());
        return;
    }
    if (crashes_.refuses(asking.request.fingerprint, asking.since))
    {
        finish(id, decision_code::refused_crashing_request, nullptr, crash_history::retention_time);
        return;
    }
    ask_round(id);
}

void probing_gateway::ask_round(request_id id)
{
    application& asking = applications_.at(id);
    const auto chosen = choose_to_ask(asking);
    if (chosen.empty())
    {
        asking.round = max_rounds;
        decide(id);
        return;
    }
    ++asking.round;
    asking.timer =
        options_.timers->schedule_after(options_.answer_time, [this, id] { decide(id); });
    const service_config& config = *service(asking.request.service);
    const auto now = options_.timers->now();
    const std::uint32_t round = asking.round;
    for (const target_row* target : chosen)
    {
        asked_target& added = asking.asked.emplace_back();
        added.name = target->name;
        added.asked_at = now;
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
                    take_report(id, round, key, std::move(report));
                }
            });
    }
}

void probing_gateway::learn(const target_key& key, const probe_report& report)
{
    const auto known = targets_.find(key);
    if (known == targets_.end())
    {
        return;
    }
    const bool stranger = !report.name.empty() && report.name != key.second;
    if (!report.answered || stranger)
    {
        report_failure(key);
        return;
    }
    known->second.health.answered();
    known->second.health.set_cold_until(options_.timers->now() + report.warmup_remaining);
    if (report.load)
    {
        fastest_[key.first].add(report.load->slowdown, options_.timers->now());
    }
}

void probing_gateway::take_report(
    request_id id, std::uint32_t round, const target_key& key, probe_report report)
{
    learn(key, report);
    const auto found = applications_.find(id);
    if (found == applications_.end() || found->second.round < round)
    {
        return;
    }
    application& asking = found->second;
    const auto asked = std::find_if(
        asking.asked.begin(), asking.asked.end(),
        [&](const asked_target& each) { return each.name == key.second; });
    if (asked == asking.asked.end() || !asked->result.pending)
    {
        return;
    }
    asked->result.pending = false;
    asked->result.report = std::move(report);
    asked->result.round_trip = options_.timers->now() - asked->asked_at;
    const asked_target* best = best_of(asking);
    const double usual = usual_slowdown(asking.request.service);
    const bool take =
        best != nullptr && best->result.estimate.relative_time <= take_at_once * usual;
    const bool complete = std::none_of(
        asking.asked.begin(), asking.asked.end(),
        [](const asked_target& each) { return each.result.pending; });
    if (take || complete)
    {
        decide(id);
    }
}

double probing_gateway::usual_slowdown(const std::string& service) const
{
    const auto found = fastest_.find(service);
    return found == fastest_.end() ? 1 : found->second.service_slowdown(options_.timers->now());
}

void probing_gateway::weigh(const application& asking, asked_target& asked) const
{
    const target_key key(asking.request.service, asked.name);
    const target_row* target = row(key);
    const auto known = targets_.find(key);
    if (target == nullptr || known == targets_.end())
    {
        return;
    }
    const auto& in_flight = known->second.in_flight;
    target_estimate_inputs inputs;
    inputs.load = asked.result.report.load.value_or(load_report{});
    inputs.slots = target->slots;
    inputs.sent_since_report = static_cast<std::uint32_t>(
        std::distance(in_flight.lower_bound(asked.asked_at), in_flight.end()));
    inputs.cold = known->second.health.is_cold(options_.timers->now());
    inputs.remote = target->failure_domain != options_.failure_domain;
    asked.result.estimate = estimate(inputs);
}

const probing_gateway::asked_target* probing_gateway::best_of(application& asking)
{
    const asked_target* best = nullptr;
    const double usual = usual_slowdown(asking.request.service);
    for (asked_target& each : asking.asked)
    {
        const target_key key(asking.request.service, each.name);
        const target_row* target = row(key);
        const probe_report& report = each.result.report;
        if (each.result.pending || target == nullptr || !takes_new_work(*target, *table_) ||
            !report.answered || !report.healthy ||
            (!report.name.empty() && report.name != each.name))
        {
            continue;
        }
        if (!may_use(*service(asking.request.service), *target))
        {
            continue;
        }
        weigh(asking, each);
        // No request waits at a target: there it would start at whatever speed the target then has.
        // A slot of a target that is slow for a moment is better used when it is fast again.
        const double slowdown = report.load ? report.load->slowdown : 1;
        if (!each.result.estimate.free || slowdown > good_enough * usual)
        {
            continue;
        }
        if (best == nullptr ||
            each.result.estimate.relative_time < best->result.estimate.relative_time)
        {
            best = &each;
        }
    }
    return best;
}

void probing_gateway::decide(request_id id)
{
    application& asking = applications_.at(id);
    options_.timers->cancel(std::exchange(asking.timer, 0));
    const asked_target* best = best_of(asking);
    const double usual = usual_slowdown(asking.request.service);
    const bool good = best != nullptr && best->result.estimate.relative_time <= good_enough * usual;
    if (!good && asking.round < max_rounds)
    {
        ask_round(id);
        return;
    }
    const auto count_pending = std::count_if(
        asking.asked.begin(), asking.asked.end(),
        [](const asked_target& each) { return each.result.pending; });
    const bool silent = !asking.asked.empty() && std::cmp_equal(count_pending, asking.asked.size());
    if (silent && asking.round == max_rounds)
    {
        ++asking.round;
        asking.timer = options_.timers->schedule_after(
            options_.answer_time * last_round_factor, [this, id] { decide(id); });
        return;
    }
    if (!good && !silent && has_targets(asking.request.service) &&
        options_.timers->now() + pause_between_tries < asking.try_until)
    {
        try_later(id);
        return;
    }
    if (best != nullptr)
    {
        const target_row* target = row({asking.request.service, best->name});
        finish(id, decision_code::granted, target, duration::zero());
        return;
    }
    const bool full = std::any_of(
        asking.asked.begin(), asking.asked.end(),
        [](const asked_target& each) { return each.result.report.answered; });
    finish(
        id, full ? decision_code::refused_queue_full : decision_code::refused_no_target, nullptr,
        refusal_wait());
}

void probing_gateway::try_later(request_id id)
{
    application& asking = applications_.at(id);
    asking.round = 0;
    asking.asked.clear();
    asking.timer =
        options_.timers->schedule_after(pause_between_tries, [this, id] { ask_round(id); });
}

duration probing_gateway::refusal_wait()
{
    const auto spread = static_cast<std::uint64_t>(refusal_spread.count());
    return shortest_refusal + duration(static_cast<duration::rep>(random_.next() % spread));
}

void probing_gateway::finish(
    request_id id, decision_code code, const target_row* target, duration retry_after)
{
    const auto owned = applications_.extract(id);
    application& asking = owned.mapped();
    options_.timers->cancel(asking.timer);
    const auto now = options_.timers->now();
    retry_budget& budget = retries_[asking.request.service];
    if (target != nullptr)
    {
        const target_key key(asking.request.service, target->name);
        grants_[id] = {
            .target = key,
            .at = now,
            .objective_left = asking.request.objective_left,
            .trace_id = asking.request.trace_id,
            .fingerprint = asking.request.fingerprint,
            .lost = nullptr};
        state(key).in_flight.insert(now);
        state(key).health.sent(now);
        if (!asking.request.retry)
        {
            budget.admitted();
        }
    }
    else if (asking.request.retry && code != decision_code::refused_retry_budget)
    {
        budget.refund();
    }
    if (options_.decided)
    {
        probing_decision decision;
        decision.trace_id = asking.request.trace_id;
        decision.service = asking.request.service;
        decision.code = code;
        decision.target = target == nullptr ? "" : target->name;
        decision.took = now - asking.since;
        decision.table_revision = table_->revision;
        for (asked_target& each : asking.asked)
        {
            decision.asked.push_back(std::move(each.result));
        }
        options_.decided(decision);
    }
    admission_answer answer;
    answer.code = code;
    answer.claim = run_claim::not_run;
    answer.retry_after = retry_after;
    if (target != nullptr)
    {
        answer.target = target->name;
        answer.address = target->address;
        answer.send_before = now + validity;
    }
    asking.answer(std::move(answer));
}

bool probing_gateway::may_send(request_id id)
{
    const auto found = grants_.find(id);
    if (found == grants_.end() || options_.timers->now() > found->second.at + validity)
    {
        return false;
    }
    const target_row* target = row(found->second.target);
    return target != nullptr && takes_new_work(*target, *table_);
}

void probing_gateway::complete(const completion_report& report)
{
    const auto found = grants_.find(report.id);
    if (found == grants_.end())
    {
        return;
    }
    const grant ended = found->second;
    grants_.erase(found);
    watch_.ended(report.id);
    const auto known = targets_.find(ended.target);
    if (known == targets_.end())
    {
        return;
    }
    auto& in_flight = known->second.in_flight;
    if (const auto own = in_flight.find(ended.at); own != in_flight.end())
    {
        in_flight.erase(own);
    }
    switch (report.outcome)
    {
    case completion_outcome::answered:
        known->second.health.succeeded();
        if (crashes_.answered(ended.fingerprint) && options_.cleared)
        {
            options_.cleared(ended.fingerprint);
        }
        break;
    case completion_outcome::connection_lost:
        confirm_crash(ended);
        report_failure(ended.target);
        break;
    case completion_outcome::answered_error:
    case completion_outcome::timed_out:
        report_failure(ended.target);
        break;
    case completion_outcome::not_run:
        // Without a status no connection was made; with one, the target is just full.
        if (report.status == 0)
        {
            report_failure(ended.target);
        }
        break;
    case completion_outcome::cancelled:
        break;
    }
}

void probing_gateway::report_failure(const target_key& key, target_failure failure)
{
    target_health& health = state(key).health;
    const auto now = options_.timers->now();
    const bool ejected = health.is_ejected(now);
    if (failure == target_failure::unreachable)
    {
        health.unreachable(now);
    }
    else
    {
        health.failed(now);
    }
    if (!ejected && options_.ejected)
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
