#include <catkintally/entry/http/answer_check.hpp>
#include <catkintally/entry/http/exchange.hpp>
#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/http/retry_after.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::entry
{

namespace
{

/// Number of lapsed grants after which a request is refused. A grant lapses if this process pauses
/// or if its target is removed before use, so several lapsed grants in a row mean that this
/// instance is not ready.
constexpr std::uint32_t max_lapsed_grants = 3;

/// Retry-After when all targets that were tried refused the request: about the time in which a
/// target's queue advances.
constexpr auto refused_retry_after = std::chrono::milliseconds(300);

template <class Value>
bool contains(const std::vector<Value>& values, const Value& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

/// Copies a response to be stored, so that it does not hold memory of the budget for bodies in
/// transit.
std::shared_ptr<const core::stored_answer> copy_of(const core::stored_answer& answer)
{
    return std::make_shared<const core::stored_answer>(answer);
}

/// Body that shares ownership of the whole response.
shared_body body_of(const std::shared_ptr<const core::stored_answer>& answer)
{
    return {answer, &answer->body};
}

} // namespace

exchange::exchange(
    const exchange_context& context,
    pending_request& call,
    exchange_plan plan,
    std::function<void(const exchange_summary&)> ended)
    : context_(context)
    , pending_request_(&call)
    , plan_(std::move(plan))
    , ended_(std::move(ended))
    , target_retry_after_(refused_retry_after)
{
}

void exchange::start()
{
    started_ = context_.timers->now();
    const std::weak_ptr<exchange> weak = weak_from_this();
    const auto weak_callback = [weak](void (exchange::*member)())
    {
        return [weak, member]
        {
            if (const auto self = weak.lock())
            {
                ((*self).*member)();
            }
        };
    };
    if (plan_.deadline <= core::duration::zero())
    {
        refuse({.status = 504, .claim = execution_claim(), .reason = "deadline_expired"});
        return;
    }
    pending_request_->on_disconnect(weak_callback(&exchange::on_caller_disconnect));
    deadline_timer_ =
        context_.timers->schedule_after(plan_.deadline, weak_callback(&exchange::on_deadline));
    request_admission(false);
}

core::duration exchange::time_left() const
{
    return std::max(core::duration::zero(), plan_.deadline - (context_.timers->now() - started_));
}

void exchange::end_now()
{
    if (pending_request_ != nullptr)
    {
        end_without_answer(stopping_refusal());
    }
}

core::run_claim exchange::execution_claim() const
{
    // An earlier request with the same key may have been executed; only the owner can rule that
    // out.
    const bool keyed = !plan_.request.key.empty();
    return may_have_run_ ? core::run_claim::unknown
           : keyed       ? core::run_claim::attempt_not_run
                         : core::run_claim::not_run;
}

void exchange::request_admission(bool retry)
{
    if (const auto barred = obstacle())
    {
        respond_without_retry(*barred);
        return;
    }
    if (!running_.empty())
    {
        plan_.request.id = context_.next_grant_id();
    }
    awaiting_admission_ = true;
    plan_.request.retry = retry;
    plan_.request.deadline_left = time_left();
    const core::duration passed = context_.timers->now() - started_;
    plan_.request.objective_left =
        std::max(core::duration::zero(), plan_.latency_objective - passed);
    context_.gateway->ask(
        plan_.request,
        [weak = weak_from_this()](const core::admission_answer& answer)
        {
            if (const auto self = weak.lock())
            {
                self->on_admission_answer(answer);
            }
        });
}

void exchange::withdraw_admission()
{
    if (std::exchange(awaiting_admission_, false))
    {
        context_.gateway->cancel(plan_.request.id);
    }
}

void exchange::on_admission_answer(const core::admission_answer& answer)
{
    assert(awaiting_admission_);
    awaiting_admission_ = false;
    if (answer.code == core::decision_code::granted)
    {
        dispatch(answer);
        return;
    }
    if (answer.code == core::decision_code::key_already_run && answer.replay)
    {
        forward_response(
            *answer.replay, body_of(answer.replay), wire::EnumNamedecision_code(answer.code));
        return;
    }
    respond_without_retry(refusal_for(answer, may_have_run_));
}

void exchange::dispatch(const core::admission_answer& answer)
{
    const core::request_id grant = plan_.request.id;
    running_attempt next{.grant = grant, .target = answer.target, .address = answer.address};
    summary_.target = next.target;
    if (time_left() < std::chrono::milliseconds(1))
    {
        // Less than 1 ms is left, so the deadline timer is due.
        report_completion(next, core::completion_outcome::not_run, {});
        end_without_answer(
            {.status = 504, .claim = execution_claim(), .reason = "deadline_expired"});
        return;
    }
    if (const auto barred = obstacle())
    {
        next.untried = true;
        report_completion(next, core::completion_outcome::not_run, {});
        respond_without_retry(*barred);
        return;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left());
    const caller_request& request = pending_request_->request();
    const core::target_dialect& dialect = *context_.dialect;
    ++summary_.attempts;
    next.dispatch = context_.pool->dispatch(
        answer.address,
        target_request{
            .method = request.method,
            .uri = request.uri,
            .fields = forwarded_request_fields(
                request.fields, {.deadline_header = context_.deadline_header,
                                 .deadline_left = std::to_string(left.count()),
                                 .request_id_header = dialect.request_id_header,
                                 .request_id = plan_.request_id,
                                 .expected_target_header = dialect.expected_target_header,
                                 .expected_target = answer.target,
                                 .api_key_header = plan_.api_key_header,
                                 .organisation_header = plan_.organisation_header,
                                 .organisation = plan_.request.organisation,
                                 .caller_address = request.address}),
            .body = request.body,
            .expected_echo =
                echoed_header{
                    .header = dialect.request_id_header,
                    .value = plan_.request_id,
                    .always = dialect.responses_carry_request_id},
            // The fleet marks the grant as used by this call, so it is made once for each grant.
            .may_send =
                [weak = weak_from_this(), grant]
            {
                const auto self = weak.lock();
                return self && !self->obstacle() && self->context_.gateway->may_send(grant);
            }},
        [weak = weak_from_this(), grant](const dispatch_end& end)
        {
            if (const auto self = weak.lock())
            {
                self->on_dispatch_end(grant, end);
            }
        });
    running_.push_back(std::move(next));
    watch(grant);
}

void exchange::watch(core::request_id grant)
{
    if (context_.gateway->watch)
    {
        context_.gateway->watch(
            grant,
            [weak = weak_from_this(), grant](core::loss_cause cause)
            {
                if (const auto self = weak.lock())
                {
                    self->on_target_lost(grant, cause);
                }
            });
    }
}

void exchange::wait_for_targets()
{
    for (running_attempt& each : running_)
    {
        if (std::exchange(each.silent, false))
        {
            watch(each.grant);
        }
    }
}

exchange::running_attempt exchange::take_attempt(core::request_id grant)
{
    const auto found = std::find_if(
        running_.begin(), running_.end(),
        [grant](const running_attempt& each) { return each.grant == grant; });
    assert(found != running_.end());
    running_attempt taken = std::move(*found);
    running_.erase(found);
    return taken;
}

void exchange::abandon(running_attempt attempt, core::completion_outcome outcome_if_sent)
{
    const bool sent = context_.pool->is_sent(attempt.dispatch);
    // Another target has answered first. A caller that leaves may have waited for the connection.
    attempt.untried =
        !sent && outcome_if_sent == core::completion_outcome::cancelled && !caller_gone_;
    context_.pool->abandon(attempt.dispatch);
    may_have_run_ = may_have_run_ || sent;
    report_completion(
        attempt, sent ? outcome_if_sent : core::completion_outcome::not_run,
        {.answer = {},
         .service_time = outcome_if_sent == core::completion_outcome::timed_out
                             ? plan_.deadline
                             : core::duration::zero(),
         .detail = {}});
}

void exchange::on_target_lost(core::request_id grant, core::loss_cause cause)
{
    const auto found = std::find_if(
        running_.begin(), running_.end(),
        [grant](const running_attempt& each) { return each.grant == grant; });
    const bool sent = found != running_.end() && context_.pool->is_sent(found->dispatch);
    if (found == running_.end() || context_.pool->has_ended(found->dispatch) ||
        (sent && !plan_.request.idempotent))
    {
        // A request that is not idempotent waits, since the target may still respond.
        return;
    }
    if (sent && cause == core::loss_cause::not_at_target &&
        !context_.pool->is_delivered(found->dispatch))
    {
        // Targets report a request when they have read it.
        watch(grant);
        return;
    }
    if (!sent && cause == core::loss_cause::slow)
    {
        // The target has not had the request yet, so it is not slow, and giving this attempt up
        // could leave the request with none.
        watch(grant);
        return;
    }
    exclude(found->target);
    if (sent && cause != core::loss_cause::not_at_target)
    {
        // The target, or the path to it, may only have paused, and a target that starts anew may
        // still finish its requests.
        found->silent = true;
        found->slow = cause == core::loss_cause::slow;
        if (may_retry())
        {
            request_admission(true);
        }
        else if (!awaiting_admission_)
        {
            wait_for_targets();
        }
        return;
    }
    abandon(take_attempt(grant), core::completion_outcome::connection_lost);
    retry_or_respond(
        {.status = static_cast<std::uint16_t>(sent ? 502 : 503),
         .claim = execution_claim(),
         .reason = "target_lost",
         .retry_after = sent ? core::duration::zero() : core::duration(refused_retry_after)});
}

void exchange::on_grant_lapsed()
{
    if (++lapsed_grants_ >= max_lapsed_grants || caller_gone_)
    {
        if (running_.empty())
        {
            refuse(
                {.status = 503,
                 .claim = execution_claim(),
                 .reason = "grant_lapsed",
                 .retry_after = std::chrono::seconds(1)});
        }
        else
        {
            wait_for_targets();
        }
        return;
    }
    if (!awaiting_admission_)
    {
        request_admission(plan_.request.retry);
    }
}

void exchange::on_dispatch_end(core::request_id grant, const dispatch_end& end)
{
    running_attempt ended = take_attempt(grant);
    summary_.target = ended.target;
    if (end.result != dispatch_result::send_refused)
    {
        exclude(ended.target);
    }
    switch (end.result)
    {
    case dispatch_result::not_sent:
        report_completion(ended, core::completion_outcome::not_run, end);
        retry_or_respond(
            {.status = 503,
             .claim = execution_claim(),
             .reason = "target_unreachable",
             .retry_after = std::chrono::seconds(1)});
        return;
    case dispatch_result::send_refused:
        --summary_.attempts;
        ended.untried = obstacle().has_value();
        report_completion(ended, core::completion_outcome::not_run, {});
        on_grant_lapsed();
        return;
    case dispatch_result::lost:
        on_answer_lost(ended, end, "connection_lost");
        return;
    case dispatch_result::answered:
        break;
    }

    // The target refused the request without executing it.
    if (refused_unexecuted(*end.answer))
    {
        if (end.has_surplus)
        {
            // The refusal may be an earlier one, and what follows the answer to this request.
            on_answer_lost(ended, end, "contradictory_answers");
            return;
        }
        context_.pool->note_refusal(ended.address, plan_.request_id);
        report_completion(ended, core::completion_outcome::not_run, end);
        target_refused_ = true;
        target_retry_after_ = std::max(
            target_retry_after_,
            parse_retry_after(end.answer->headers).value_or(core::duration::zero()));
        retry_or_respond({.status = 502, .claim = execution_claim(), .reason = "target_refused"});
        return;
    }
    const auto verdict = check_answer(*context_.dialect, *end.answer, plan_.request.idempotent);
    if (verdict != answer_verdict::usable)
    {
        log_unusable(verdict, plan_.request_id, ended.target, end.answer->status);
        on_answer_lost(ended, end, reason_of(verdict), outcome_of(verdict));
        return;
    }
    summary_.target_time = end.service_time;
    const bool failed = end.answer->status >= 500;
    report_completion(
        ended,
        failed ? core::completion_outcome::answered_error : core::completion_outcome::answered, end,
        plan_.request.key.empty() ? nullptr : copy_of(*end.answer));
    if (failed && plan_.request.idempotent)
    {
        may_have_run_ = true;
        failed_answer_ = end.answer;
        retry_or_respond({.status = 502, .claim = execution_claim(), .reason = "target_failed"});
        return;
    }
    forward_response(*end.answer, body_of(end.answer), nullptr);
}

void exchange::on_answer_lost(
    const running_attempt& attempt,
    const dispatch_end& end,
    const std::string& reason,
    core::completion_outcome outcome)
{
    may_have_run_ = true;
    report_completion(attempt, outcome, end);
    const refusal lost{.status = 502, .claim = execution_claim(), .reason = reason};
    if (plan_.request.idempotent)
    {
        retry_or_respond(lost);
        return;
    }
    refuse(lost);
}

void exchange::retry_or_respond(const refusal& fallback)
{
    if (may_retry())
    {
        request_admission(true);
    }
    else if (!awaiting_admission_)
    {
        respond_without_retry(fallback);
    }
}

bool exchange::may_retry() const
{
    return !awaiting_admission_ && !caller_gone_ && summary_.attempts < plan_.max_attempts &&
           time_left() > core::duration::zero();
}

void exchange::exclude(const std::string& target)
{
    auto& excluded = plan_.request.excluded_targets;
    if (!contains(excluded, target))
    {
        excluded.push_back(target);
    }
}

void exchange::respond_without_retry(const refusal& fallback)
{
    if (!running_.empty())
    {
        wait_for_targets();
        return;
    }
    if (failed_answer_)
    {
        forward_response(*failed_answer_, body_of(failed_answer_), nullptr);
        return;
    }
    if (target_refused_ && !may_have_run_ && fallback.challenge.empty())
    {
        // The target's refusal tells the caller more than the reason why no retry was granted.
        refuse(
            {.status = 503,
             .claim = execution_claim(),
             .reason = "target_refused",
             .retry_after = std::max(target_retry_after_, fallback.retry_after)});
        return;
    }
    refuse(fallback);
}

void exchange::on_deadline()
{
    deadline_timer_ = 0;
    end_without_answer({.status = 504, .claim = execution_claim(), .reason = "deadline_expired"});
}

void exchange::end_without_answer(const refusal& fallback)
{
    withdraw_admission();
    for (const running_attempt& each : std::vector(running_))
    {
        if (!context_.pool->has_ended(each.dispatch))
        {
            abandon(take_attempt(each.grant), core::completion_outcome::timed_out);
        }
    }
    if (!running_.empty())
    {
        // A response that has been read is delivered.
        return;
    }
    // A response with status 500 or above is still delivered if a retry was in progress.
    refusal ended = fallback;
    ended.claim = execution_claim();
    respond_without_retry(ended);
}

void exchange::on_caller_disconnect()
{
    caller_gone_ = true;
    withdraw_admission();
    const bool executing = std::any_of(
        running_.begin(), running_.end(),
        [this](const running_attempt& each) { return context_.pool->is_sent(each.dispatch); });
    if (executing && !plan_.request.idempotent)
    {
        // The target may be executing it. Its completion is still reported, and the response to a
        // request with an idempotency key is still stored.
        return;
    }
    for (const running_attempt& each : std::exchange(running_, {}))
    {
        abandon(each, core::completion_outcome::cancelled);
    }
    refuse({.status = 503, .claim = execution_claim(), .reason = "caller_gone"});
}

void exchange::report_completion(
    const running_attempt& attempt,
    core::completion_outcome outcome,
    const dispatch_end& end,
    std::shared_ptr<const core::stored_answer> stored)
{
    core::completion_report report;
    report.id = attempt.grant;
    report.service = plan_.request.service;
    report.target = attempt.target;
    report.outcome = outcome;
    report.service_time = end.service_time;
    report.untried = attempt.untried;
    add_statements(*context_.dialect, end, report);
    context_.gateway->complete(report, std::move(stored));
}

void exchange::refuse(const refusal& refused)
{
    // 503 tells clients that nothing was executed, so it does not go with the claim `unknown`.
    refusal checked = refused;
    if (checked.claim == core::run_claim::unknown && checked.status == 503)
    {
        checked.status = 502;
    }
    finish(
        checked.status, checked.reason,
        make_response(checked, plan_.request_id, context_.dialect->fractional_retry_after));
}

void exchange::forward_response(
    const core::stored_answer& answer, shared_body body, const char* reason)
{
    const bool keep_length = pending_request_->request().method == "HEAD" || answer.status == 304;
    caller_response response{
        .status = answer.status,
        .fields = forwarded_response_fields(answer.headers, keep_length),
        .body = std::move(body)};
    if (reason != nullptr)
    {
        add_claim(response.fields, core::run_claim::already_run, reason);
    }
    response.fields.emplace_back(request_id_header, plan_.request_id);
    finish(answer.status, reason == nullptr ? "answered" : reason, response);
}

bool exchange::refused_unexecuted(const core::stored_answer& answer) const
{
    return context_.dialect->refused_unexecuted ? context_.dialect->refused_unexecuted(answer)
                                                : contains(plan_.not_run_statuses, answer.status);
}

void exchange::finish(std::uint16_t status, std::string reason, const caller_response& response)
{
    context_.timers->cancel(std::exchange(deadline_timer_, 0));
    withdraw_admission();
    for (const running_attempt& each : std::exchange(running_, {}))
    {
        abandon(
            each, each.silent && !each.slow ? core::completion_outcome::connection_lost
                                            : core::completion_outcome::cancelled);
    }
    summary_.status = status;
    summary_.reason = std::move(reason);
    summary_.executed = may_have_run_ || summary_.reason == "answered";
    summary_.total = context_.timers->now() - started_;
    pending_request* call = std::exchange(pending_request_, nullptr);
    call->reply(response);
    // The owner may destroy this object.
    const auto ended = std::move(ended_);
    ended(summary_);
}

} // namespace catkintally::entry
