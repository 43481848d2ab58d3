#include <catkintally/core/fleet/admission_client.hpp>

#include <catkintally/core/admission/target_set.hpp>
#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/core/fleet/service_owner.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

namespace
{

/// Pause before the next application after `moved` or `no_lease`.
constexpr duration retry_pause = milliseconds(20);

/// A target that answered an own granted request within this time is believed warm.
constexpr duration warm_belief = std::chrono::seconds(10);

} // namespace

admission_client::admission_client(admission_client_options options)
    : options_(std::move(options))
    , answers_(options_.answers)
    , view_changed_at_(options_.timers->now())
{
}

admission_client::~admission_client()
{
    for (const auto& [id, waiting] : entries_)
    {
        options_.timers->cancel(waiting.timer);
    }
}

void admission_client::set_table(const table_snapshot& table)
{
    table_ = &table;
}

const service_config* admission_client::find_service(const std::string& name) const
{
    if (table_ == nullptr)
    {
        return nullptr;
    }
    const auto found = table_->services.find(name);
    return found == table_->services.end() ? nullptr : &found->second;
}

const target_row*
admission_client::find_target(const std::string& service, const std::string& name) const
{
    const service_config* config = find_service(service);
    if (config == nullptr)
    {
        return nullptr;
    }
    const auto found = std::find_if(
        config->targets.begin(), config->targets.end(),
        [&](const target_row& row) { return row.name == name; });
    return found == config->targets.end() ? nullptr : &*found;
}

void admission_client::ask(admission_request request, answer_hook done)
{
    const request_id id = request.id;
    if (const auto known = entries_.find(id); known != entries_.end())
    {
        // Asking again gives up an unused grant; a request under way cannot be asked for again.
        if (known->second.at == phase::dispatched)
        {
            admission_answer answer;
            answer.code = decision_code::key_in_progress;
            answer.claim = run_claim::in_progress;
            done(std::move(answer));
            return;
        }
        cancel(id);
    }
    const service_config* config = find_service(request.service);
    const duration limit =
        config == nullptr ? duration::zero() : milliseconds(config->service.deadline_ms);
    request.deadline_left = std::min(request.deadline_left, limit);
    request.instance = to_text(options_.self());
    entry& added = entries_[id];
    added.deadline = options_.timers->now() + request.deadline_left;
    added.request = std::move(request);
    added.done = std::move(done);
    if (config == nullptr || !options_.fresh())
    {
        refuse(
            id,
            config == nullptr ? decision_code::refused_no_target : decision_code::refused_not_ready,
            claim_without_owner(added.request), std::chrono::seconds(1));
        return;
    }
    send_application(added);
}

void admission_client::send_application(entry& asking)
{
    const time_point now = options_.timers->now();
    const member* owner = place_service(asking.request.service, options_.current().members).owner;
    const duration left = asking.deadline - now;
    schedule(asking, std::clamp<duration>(left, milliseconds(1), owner_reply_limit));
    if (owner == nullptr)
    {
        return;
    }
    if (asking.asked != owner->id)
    {
        asking.asked = owner->id;
        asking.first_asked = now;
    }
    wire::grant_request_data data;
    data.request_id = asking.request.id;
    data.epoch = options_.current().epoch;
    data.service = asking.request.service;
    data.method_idempotent = asking.request.idempotent;
    data.key = asking.request.key;
    data.fingerprint = asking.request.fingerprint;
    data.deadline_us =
        static_cast<std::uint64_t>(std::max<duration::rep>(0, (asking.deadline - now).count()));
    data.retry = asking.request.retry;
    data.excluded_targets = asking.request.excluded_targets;
    options_.send(owner->id, wire::make_message(std::move(data)));
}

void admission_client::schedule(entry& waiting, duration delay)
{
    options_.timers->cancel(waiting.timer);
    waiting.timer =
        options_.timers->schedule_after(delay, [this, id = waiting.request.id] { on_timer(id); });
}

void admission_client::on_timer(request_id id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
    {
        return;
    }
    entry& waiting = found->second;
    if (waiting.at == phase::fetching)
    {
        // The holder did not deliver the answer in time.
        refuse(id, decision_code::key_already_run, run_claim::already_run);
        return;
    }
    if (waiting.at != phase::asking)
    {
        return;
    }
    if (options_.timers->now() >= waiting.deadline)
    {
        if (waiting.asked)
        {
            send_cancel(*waiting.asked, id, waiting.request.service);
        }
        const bool missing = without_owner(waiting.request.service) >= owner_missing_limit;
        refuse(
            id, missing ? decision_code::refused_no_owner : decision_code::refused_deadline,
            claim_without_owner(waiting.request), std::chrono::seconds(1));
        return;
    }
    if (!options_.fresh())
    {
        refuse(
            id, decision_code::refused_not_ready, claim_without_owner(waiting.request),
            std::chrono::seconds(1));
        return;
    }
    if (!try_fixed_share(waiting))
    {
        send_application(waiting);
    }
}

void admission_client::on_grant_reply(const member_id& from, const wire::grant_reply_data& reply)
{
    const std::uint64_t epoch = options_.current().epoch;
    const auto found = entries_.find(reply.request_id);
    if (found == entries_.end() || found->second.at != phase::asking)
    {
        // The request was withdrawn or answered otherwise. Its place is free again unless the
        // request runs under this very grant.
        if (reply.code == decision_code::granted &&
            (found == entries_.end() || found->second.shared))
        {
            send_cancel(from, reply.request_id, reply.service);
        }
        return;
    }
    entry& asking = found->second;
    if (reply.epoch > epoch)
    {
        options_.behind(from);
        return;
    }
    if (reply.epoch < epoch || asking.asked != from || asking.request.service != reply.service)
    {
        // An owner of an earlier epoch; the present owner has been asked when the view changed.
        return;
    }
    service_entry& service = services_[reply.service];
    if (reply.code == decision_code::no_lease || reply.code == decision_code::moved)
    {
        const time_point now = options_.timers->now();
        if (!service.no_lease_since || now - service.no_lease_last > 2 * owner_reply_limit)
        {
            service.no_lease_since = now;
        }
        service.no_lease_last = now;
        asking.asked.reset();
        schedule(asking, retry_pause);
        return;
    }
    service.no_lease_since.reset();
    if (reply.code == decision_code::granted)
    {
        const time_point send_before = asking.first_asked + duration(reply.validity_us);
        if (options_.timers->now() >= send_before || !find_target(reply.service, reply.target))
        {
            send_cancel(from, reply.request_id, reply.service);
            asking.asked.reset();
            schedule(asking, retry_pause);
            return;
        }
        asking.target_warm = reply.warm;
        grant(asking, reply.target, send_before, false);
        return;
    }
    if (reply.code == decision_code::key_already_run && !reply.key_holder.empty())
    {
        fetch_answer(asking, reply.key_holder);
        return;
    }
    refuse(
        reply.request_id, reply.code, claim_of(reply.code, asking.request),
        milliseconds(reply.retry_after_ms));
}

void admission_client::grant(
    entry& asking, const std::string& target, time_point send_before, bool shared)
{
    const request_id id = asking.request.id;
    asking.at = phase::granted;
    asking.target = target;
    asking.epoch = options_.current().epoch;
    asking.send_before = send_before;
    asking.shared = shared;
    options_.timers->cancel(asking.timer);
    if (!asking.request.key.empty())
    {
        key_registry& own = options_.state->own_records(asking.request.service);
        own.merge(
            {.key = asking.request.key,
             .state = key_state::granted,
             .request = id,
             .dispatcher = to_text(options_.self()),
             .fingerprint = asking.request.fingerprint,
             .changed = options_.timers->now()});
    }
    const target_row* row = find_target(asking.request.service, target);
    admission_answer answer;
    answer.code = decision_code::granted;
    answer.claim = run_claim::not_run;
    answer.target = target;
    answer.address = row->address;
    answer.send_before = send_before;
    const auto done = std::exchange(asking.done, {});
    done(std::move(answer));
}

bool admission_client::may_send(request_id id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.at != phase::granted)
    {
        return false;
    }
    entry& granted = found->second;
    const target_row* row = find_target(granted.request.service, granted.target);
    if (granted.epoch != options_.current().epoch ||
        options_.timers->now() >= granted.send_before || row == nullptr ||
        !takes_new_work(*row, *table_) || !options_.fresh())
    {
        return false;
    }
    granted.at = phase::dispatched;
    return true;
}

void admission_client::forget_own_record(const entry& unused)
{
    key_registry& own = options_.state->own_records(unused.request.service);
    if (const auto* record = own.find(unused.request.key);
        record != nullptr && record->request == unused.request.id)
    {
        own.remove(unused.request.key);
    }
}

void admission_client::end_unused(const entry& ended)
{
    if (ended.at == phase::granted)
    {
        forget_own_record(ended);
    }
    if (ended.asked && !ended.shared)
    {
        send_cancel(*ended.asked, ended.request.id, ended.request.service);
    }
}

void admission_client::cancel(request_id id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.at == phase::dispatched)
    {
        return;
    }
    options_.timers->cancel(found->second.timer);
    const entry ended = std::move(found->second);
    entries_.erase(found);
    end_unused(ended);
}

void admission_client::complete(
    const completion_report& report, const std::shared_ptr<const stored_answer>& answer)
{
    const auto found = entries_.find(report.id);
    if (found == entries_.end())
    {
        return;
    }
    if (found->second.at != phase::dispatched)
    {
        // The grant was never used.
        cancel(report.id);
        return;
    }
    const time_point now = options_.timers->now();
    const entry ended = std::move(found->second);
    entries_.erase(found);

    // The dispatcher's own copy of the record, and the answer for callers that ask again.
    const std::string& key = ended.request.key;
    key_registry& own = options_.state->own_records(ended.request.service);
    if (const auto* record = own.find(key); !key.empty() && record != nullptr)
    {
        switch (report.outcome)
        {
        case completion_outcome::not_run:
            own.remove(key);
            break;
        case completion_outcome::answered:
        case completion_outcome::answered_error:
            own.set_state(key, key_state::done, now);
            if (answer)
            {
                answers_.put(ended.request.service, key, answer, now);
            }
            break;
        case completion_outcome::connection_lost:
        case completion_outcome::timed_out:
        case completion_outcome::cancelled:
            own.set_state(key, key_state::unknown, now);
            break;
        }
    }
    if (ended.target_warm && report.outcome == completion_outcome::answered)
    {
        services_[ended.request.service].warm_until[ended.target] = now + warm_belief;
    }
    else if (
        report.outcome != completion_outcome::answered &&
        report.outcome != completion_outcome::cancelled)
    {
        services_[ended.request.service].warm_until.erase(ended.target);
    }

    // The present owner is told in any case: it may have recovered the grant.
    const member* owner = place_service(ended.request.service, options_.current().members).owner;
    if (owner == nullptr)
    {
        return;
    }
    wire::completion_data data;
    data.request_id = report.id;
    data.epoch = options_.current().epoch;
    data.service = ended.request.service;
    data.target = ended.target;
    data.outcome = report.outcome;
    data.status = report.status;
    data.service_time_us =
        static_cast<std::uint64_t>(std::max<duration::rep>(0, report.service_time.count()));
    if (report.load)
    {
        data.load = std::make_unique<wire::load_report_data>();
        data.load->running = report.load->running;
        data.load->queued = report.load->queued;
        data.load->cold = report.load->cold;
        data.load->draining = report.load->draining;
        data.load->present = true;
    }
    options_.send(owner->id, wire::make_message(std::move(data)));
}

void admission_client::view_changed()
{
    view_changed_at_ = options_.timers->now();
    for (auto& [name, service] : services_)
    {
        service.no_lease_since.reset();
    }
    for (auto& [id, waiting] : entries_)
    {
        if (waiting.at == phase::asking)
        {
            send_application(waiting);
        }
        else if (waiting.at == phase::granted && !waiting.request.key.empty())
        {
            // The grant can no longer be used, so the recover_reply must not name the key.
            forget_own_record(waiting);
        }
    }
}

void admission_client::refuse(
    request_id id, decision_code code, run_claim claim, duration retry_after)
{
    admission_answer answer;
    answer.code = code;
    answer.claim = claim;
    answer.retry_after = retry_after;
    give(id, std::move(answer));
}

void admission_client::give(request_id id, admission_answer answer)
{
    const auto found = entries_.find(id);
    options_.timers->cancel(found->second.timer);
    const auto done = std::move(found->second.done);
    entries_.erase(found);
    done(std::move(answer));
}

run_claim admission_client::claim_of(decision_code code, const admission_request& request)
{
    switch (code)
    {
    case decision_code::key_in_progress:
        return run_claim::in_progress;
    case decision_code::key_already_run:
        return run_claim::already_run;
    case decision_code::key_outcome_unknown:
        return run_claim::unknown;
    default:
        // An owner that was paused after its lease check may have missed a takeover in which the
        // key ran, so its refusal of a keyed request speaks for this sending only.
        return request.retry || !request.key.empty() ? run_claim::attempt_not_run
                                                     : run_claim::not_run;
    }
}

void admission_client::send_cancel(
    const member_id& owner, request_id id, const std::string& service)
{
    wire::grant_cancel_data data;
    data.request_id = id;
    data.epoch = options_.current().epoch;
    data.service = service;
    options_.send(owner, wire::make_message(std::move(data)));
}

void admission_client::add_grants_in_flight(
    const std::string& service, wire::recover_reply_data& reply) const
{
    for (const auto& [id, used] : entries_)
    {
        if (used.at != phase::dispatched || used.request.service != service)
        {
            continue;
        }
        auto grant = std::make_unique<wire::grant_in_flight_data>();
        grant->request_id = id;
        grant->target = used.target;
        grant->deadline_us = static_cast<std::uint64_t>(
            std::max<duration::rep>(0, (used.deadline - options_.timers->now()).count()));
        grant->key = used.request.key;
        reply.grants.push_back(std::move(grant));
    }
}

admission_client_dump admission_client::dump() const
{
    admission_client_dump copy;
    for (const auto& [id, used] : entries_)
    {
        copy.asking += used.at <= phase::fetching ? 1 : 0;
        copy.granted += used.at == phase::granted ? 1 : 0;
        copy.dispatched += used.at == phase::dispatched ? 1 : 0;
        copy.fixed_share += used.shared ? 1 : 0;
    }
    copy.answer_bytes = answers_.bytes();
    return copy;
}

} // namespace catkintally::core
