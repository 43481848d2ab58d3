#include <catkintally/core/fleet/service_owner.hpp>

#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

namespace
{

/// A request whose completion has not arrived this long after its deadline is given up.
constexpr duration completion_grace = milliseconds(1000);

} // namespace

service_owner::service_owner(service_owner_options options)
    : options_(std::move(options))
    , records_({.capacity = options_.key_capacity})
    , replica_({
          .timers = options_.timers,
          .service = options_.service,
          .send =
              [this](wire::witness_put_data put)
          {
              if (witness_)
              {
                  options_.send(*witness_, wire::make_message(std::move(put)));
              }
          },
          .record = [this](const std::string& key) -> std::optional<wire::key_record_data>
          {
              const idempotency_record* record = records_.find(key);
              if (record == nullptr || record->state == key_state::queued)
              {
                  return std::nullopt;
              }
              return to_wire(*record, options_.timers->now());
          },
          .phases = [this] { return admission_->phases(); },
          .progressed = [this] { progressed(); },
      })
    , complete_epoch_(options_.complete_epoch)
    , alive_(std::make_shared<service_owner*>(this))
{
    admission_ = std::make_unique<service_admission>(service_admission_options{
        .service = options_.service,
        .timers = options_.timers,
        .seed = options_.seed,
        .decide = [this](const admission_decision& decision) { decided(decision); },
        .phase_changed = [this](const std::string&) { warm_known_ = false; },
        .probe = options_.probe});
}

service_owner::~service_owner() = default;

void service_owner::apply(const service_config& config, const table_snapshot& table)
{
    config_ = config;
    records_.set_retention(milliseconds(config.service.key_retention_ms));
    admission_->apply(config, table);
    warm_known_ = false;
}

void service_owner::on_request(
    const member_id& from, const std::string& domain, const wire::grant_request_data& data)
{
    const time_point now = options_.timers->now();
    const duration limit = milliseconds(config_.service.deadline_ms);
    const duration deadline_left = std::min(
        limit, duration(std::min<std::uint64_t>(
                   data.deadline_us, static_cast<std::uint64_t>(limit.count()))));
    active_request entry{
        .from = from,
        .request =
            {.id = data.request_id,
             .service = options_.service,
             .instance = to_text(from),
             .failure_domain = domain,
             .idempotent = data.method_idempotent,
             .key = data.key,
             .fingerprint = data.fingerprint,
             .deadline_left = deadline_left,
             .retry = data.retry,
             .excluded_targets = data.excluded_targets},
        .received = now,
        .deadline = now + deadline_left,
        .epoch = epoch(),
        .target = {},
        .submitted = false,
        .sent = false,
        .validity = {}};
    if (!options_.lease())
    {
        if (const auto known = active_.find(data.request_id);
            known != active_.end() && !known->second.sent)
        {
            release_key(known->second);
            drop(data.request_id);
            admission_->cancel(data.request_id);
        }
        refuse(entry, decision_code::no_lease);
        return;
    }
    if (const auto known = active_.find(data.request_id); known != active_.end())
    {
        active_request& earlier = known->second;
        if (earlier.sent && earlier.epoch == epoch() && earlier.from == from)
        {
            send_grant(earlier);
            return;
        }
        const bool unused = earlier.sent;
        earlier.from = from;
        earlier.epoch = epoch();
        if (unused)
        {
            // The dispatcher has adopted this epoch and refuses the grant of the earlier one.
            admission_->cancel(data.request_id);
            earlier = std::move(entry);
            process(earlier);
        }
        return;
    }
    const std::size_t limit_waiting = config_.service.queue_limit + std::size_t{1'000};
    if (!ready_ && active_.size() >= limit_waiting)
    {
        refuse(entry, decision_code::no_lease);
        return;
    }
    process(active_.emplace(data.request_id, std::move(entry)).first->second);
}

void service_owner::process(active_request& entry)
{
    if (!ready_)
    {
        return;
    }
    const std::string& key = entry.request.key;
    if (!key.empty())
    {
        if (answer_from_records(entry))
        {
            drop(entry.request.id);
            return;
        }
        if (!replica_.complete())
        {
            return;
        }
        if (records_.find(key) == nullptr)
        {
            records_.insert(
                {.key = key,
                 .state = key_state::queued,
                 .request = entry.request.id,
                 .dispatcher = to_text(entry.from),
                 .fingerprint = entry.request.fingerprint,
                 .changed = options_.timers->now()});
        }
    }
    entry.submitted = true;
    admission_request request = entry.request;
    request.deadline_left = std::max(duration::zero(), entry.deadline - options_.timers->now());
    admission_->submit(request);
}

bool service_owner::answer_from_records(active_request& entry)
{
    const idempotency_record* record = records_.find(entry.request.key);
    if (record == nullptr)
    {
        if (!proven_)
        {
            refuse(entry, decision_code::key_outcome_unknown);
            return true;
        }
        if (records_.full() || entry.request.key.size() > max_key_bytes)
        {
            refuse(entry, decision_code::refused_key_table_full, std::chrono::seconds(1));
            return true;
        }
        return false;
    }
    switch (record->state)
    {
    case key_state::done:
        refuse(entry, decision_code::key_already_run, {}, record->dispatcher);
        return true;
    case key_state::unknown:
        refuse(entry, decision_code::key_outcome_unknown);
        return true;
    case key_state::queued:
    case key_state::granted:
        // The dispatcher asks again for a request only while it has not used a grant for it.
        if (record->request == entry.request.id && record->dispatcher == to_text(entry.from))
        {
            return false;
        }
        refuse(entry, decision_code::key_in_progress, std::chrono::seconds(1), record->dispatcher);
        return true;
    }
    return false;
}

void service_owner::decided(const admission_decision& decision)
{
    const auto found = active_.find(decision.id);
    if (found == active_.end())
    {
        return;
    }
    active_request& entry = found->second;
    if (decision.code != decision_code::granted)
    {
        release_key(entry);
        refuse(entry, decision.code, decision.retry_after);
        drop(decision.id);
        return;
    }
    entry.target = decision.target;
    if (entry.request.key.empty())
    {
        send_grant(entry);
        return;
    }
    // The record must be at the witness before the dispatcher may use the grant.
    records_.set_state(entry.request.key, key_state::granted, options_.timers->now());
    replica_.mark(entry.request.key);
    replica_.flush();
    send_ready_grants();
}

void service_owner::send_ready_grants()
{
    std::vector<request_id> ready;
    for (const auto& [id, entry] : active_)
    {
        if (!entry.target.empty() && !entry.sent && !entry.request.key.empty() &&
            replica_.complete() && replica_.clean(entry.request.key))
        {
            ready.push_back(id);
        }
    }
    for (const request_id id : ready)
    {
        if (const auto found = active_.find(id); found != active_.end())
        {
            send_grant(found->second);
        }
    }
}

void service_owner::send_grant(active_request& entry)
{
    const request_id id = entry.request.id;
    if (!options_.lease())
    {
        refuse(entry, decision_code::no_lease);
        // The admission may be in the middle of placing its queue, so the place returns later.
        options_.timers->schedule_after(
            duration::zero(),
            [weak = std::weak_ptr(alive_), id]
            {
                if (const auto alive = weak.lock())
                {
                    (*alive)->admission_->cancel(id);
                }
            });
        release_key(entry);
        drop(id);
        return;
    }
    if (!entry.sent)
    {
        // The dispatcher counts from the time at which it asked, so waiting here is added.
        entry.sent = true;
        entry.validity = options_.timers->now() - entry.received + grant_validity;
    }
    wire::grant_reply_data reply;
    reply.request_id = id;
    reply.epoch = epoch();
    reply.service = options_.service;
    reply.code = decision_code::granted;
    reply.target = entry.target;
    reply.warm = is_warm(entry.target);
    reply.validity_us = static_cast<std::uint64_t>(entry.validity.count());
    options_.send(entry.from, wire::make_message(std::move(reply)));
}

bool service_owner::is_warm(const std::string& target)
{
    if (!warm_known_)
    {
        warm_known_ = true;
        warm_targets_.clear();
        for (const wire::target_state_data& state : admission_->phases())
        {
            if (state.phase == wire::target_phase::warm)
            {
                warm_targets_.insert(state.target);
            }
        }
    }
    return warm_targets_.contains(target);
}

void service_owner::refuse(
    const active_request& entry,
    decision_code code,
    duration retry_after,
    const std::string& key_holder)
{
    wire::grant_reply_data reply;
    reply.request_id = entry.request.id;
    reply.epoch = epoch();
    reply.service = options_.service;
    reply.code = code;
    reply.retry_after_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(retry_after).count());
    reply.key_holder = key_holder;
    options_.send(entry.from, wire::make_message(std::move(reply)));
}

void service_owner::drop(request_id id)
{
    active_.erase(id);
}

void service_owner::release_key(const active_request& entry)
{
    const idempotency_record* record = records_.find_by_request(entry.request.id);
    if (entry.request.key.empty() || record == nullptr || record->key != entry.request.key ||
        record->state > key_state::granted)
    {
        return;
    }
    const bool copied = record->state == key_state::granted;
    records_.remove(entry.request.key);
    if (copied)
    {
        replica_.mark(entry.request.key);
        replica_.flush();
    }
}

void service_owner::on_cancel(const member_id& from, request_id id)
{
    if (const auto found = active_.find(id); found != active_.end())
    {
        release_key(found->second);
        drop(id);
        admission_->cancel(id);
        return;
    }
    const idempotency_record* record = records_.find_by_request(id);
    if (record != nullptr && record->state <= key_state::granted &&
        record->dispatcher == to_text(from))
    {
        // A recovered record of a grant that its dispatcher never used.
        const std::string key = record->key;
        records_.remove(key);
        replica_.mark(key);
        replica_.flush();
    }
    admission_->cancel(id);
}

void service_owner::on_completion(const wire::completion_data& data)
{
    if (!ready_)
    {
        early_completions_.push_back(data);
        return;
    }
    apply_completion(data);
    replica_.flush();
}

void service_owner::apply_completion(const wire::completion_data& data)
{
    if (const idempotency_record* record = records_.find_by_request(data.request_id))
    {
        const std::string key = record->key;
        switch (data.outcome)
        {
        case completion_outcome::answered:
        case completion_outcome::answered_error:
            records_.set_state(key, key_state::done, options_.timers->now());
            break;
        case completion_outcome::not_run:
            records_.remove(key);
            break;
        case completion_outcome::connection_lost:
        case completion_outcome::timed_out:
        case completion_outcome::cancelled:
            records_.set_state(key, key_state::unknown, options_.timers->now());
            break;
        }
        replica_.mark(key);
    }
    drop(data.request_id);
    completion_report report{
        .id = data.request_id,
        .service = options_.service,
        .target = data.target,
        .outcome = data.outcome,
        .status = data.status,
        .service_time = duration(data.service_time_us),
        .load = std::nullopt};
    if (data.load && data.load->present)
    {
        report.load = load_report{
            .running = data.load->running,
            .queued = data.load->queued,
            .cold = data.load->cold,
            .draining = data.load->draining};
    }
    admission_->complete(report);
}

void service_owner::on_witness_ack(const member_id& from, const wire::witness_ack_data& ack)
{
    if (witness_ == from)
    {
        replica_.acknowledged(ack);
    }
}

void service_owner::tick()
{
    const time_point now = options_.timers->now();
    if (!ready_)
    {
        return;
    }
    records_.expire(now);
    if (!proven_ && now >= unproven_until_)
    {
        set_proven();
    }
    std::vector<request_id> ended;
    for (const auto& [id, entry] : active_)
    {
        if (now >= entry.deadline + completion_grace)
        {
            ended.push_back(id);
        }
    }
    for (const request_id id : ended)
    {
        const active_request& entry = active_.at(id);
        if (!entry.sent)
        {
            release_key(entry);
            refuse(entry, decision_code::refused_deadline);
        }
        else if (const auto* record = records_.find_by_request(id);
                 record != nullptr && record->state == key_state::granted)
        {
            const std::string key = record->key;
            records_.set_state(key, key_state::unknown, now);
            replica_.mark(key);
        }
        drop(id);
        admission_->cancel(id);
    }
    replica_.flush();
    replica_.tick();
}

service_owner_dump service_owner::dump() const
{
    return {
        .service = options_.service,
        .recovered = ready_,
        .proven = proven_,
        .complete = replica_.complete(),
        .records = records_.size(),
        .waiting = active_.size(),
        .admission = admission_->dump()};
}

} // namespace catkintally::core
