#include <catkintally/core/fleet/service_owner.hpp>

#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

void service_owner::adopt(
    const view& current,
    bool continuous,
    std::set<member_id> removed,
    std::function<bool(std::uint64_t)> expired)
{
    current_ = current;
    const member* witness = place_service(options_.service, current_.members).witness;
    witness_ = witness == nullptr ? std::nullopt : std::optional(witness->id);
    if (continuous && ready_)
    {
        mark_orphans();
        start_replica();
        send_ready_grants();
        return;
    }
    assert(!ready_);
    options_.event(
        fleet_event::recovery_started,
        {{"service", options_.service}, {"epoch", std::to_string(epoch())}});
    recovery_ = std::make_unique<recovery>(recovery_options{
        .timers = options_.timers,
        .service = options_.service,
        .self = options_.self(),
        .current = current_,
        .removed = std::move(removed),
        .expired = std::move(expired),
        .ask =
            [this](const member_id& id)
        {
            wire::recover_request_data request;
            request.epoch = epoch();
            request.service = options_.service;
            options_.send(id, wire::make_message(std::move(request)));
        },
        .done = [this](const recovery_result& result) { recovered(result); }});
    recovery_->start();
}

void service_owner::recovered(const recovery_result& result)
{
    const time_point now = options_.timers->now();
    restore(result);
    if (ready_)
    {
        // A late answer only adds to what is known.
        if (result.proven && !proven_)
        {
            set_proven();
        }
        replica_.flush();
        return;
    }
    ready_ = true;
    if (!result.all_replied)
    {
        // Work of silent members may still run at cold targets, which carry one request.
        block_cold_until(now + milliseconds(config_.service.deadline_ms) + silent_work_margin);
    }
    for (const wire::completion_data& data : std::exchange(early_completions_, {}))
    {
        apply_completion(data);
    }
    mark_orphans();
    options_.event(
        fleet_event::recovery_finished, {{"service", options_.service},
                                         {"epoch", std::to_string(epoch())},
                                         {"records", std::to_string(records_.size())},
                                         {"all_replied", result.all_replied ? "yes" : "no"}});
    start_replica();
    if (result.proven)
    {
        set_proven();
    }
    else
    {
        unproven_until_ = now + milliseconds(config_.service.key_retention_ms);
        options_.event(
            fleet_event::records_unproven,
            {{"service", options_.service}, {"epoch", std::to_string(epoch())}});
    }
    flush_waiting();
}

void service_owner::restore(const recovery_result& result)
{
    for (const idempotency_record& record : result.records)
    {
        records_.merge(record);
        if (ready_)
        {
            replica_.mark(record.key);
        }
    }
    for (const wire::target_state_data& state : result.phases)
    {
        admission_->restore_phase(state.target, state.phase, state.limit);
    }
    warm_known_ = false;
    for (const recovered_grant& grant : result.grants)
    {
        admission_->restore_grant(grant.id, grant.target, grant.deadline_left);
    }
}

void service_owner::set_proven()
{
    proven_ = true;
    replica_.set_proven();
    flush_waiting();
}

void service_owner::start_replica()
{
    std::vector<std::string> keys;
    records_.for_each(
        [&](const idempotency_record& record)
        {
            if (record.state != key_state::queued)
            {
                keys.push_back(record.key);
            }
        });
    replica_.begin(epoch(), witness_.has_value(), std::move(keys));
}

void service_owner::progressed()
{
    if (replica_.complete() && complete_epoch_ != epoch())
    {
        complete_epoch_ = epoch();
        options_.event(
            fleet_event::records_complete,
            {{"service", options_.service}, {"epoch", std::to_string(epoch())}});
        flush_waiting();
    }
    send_ready_grants();
}

void service_owner::mark_orphans()
{
    // The dispatcher is gone and cannot tell how the request ended.
    std::vector<std::string> orphans;
    records_.for_each(
        [&](const idempotency_record& record)
        {
            const member* listed = current_.find_instance(instance_of(record.dispatcher));
            if (record.state == key_state::granted &&
                (listed == nullptr || to_text(listed->id) != record.dispatcher))
            {
                orphans.push_back(record.key);
            }
        });
    for (const std::string& key : orphans)
    {
        records_.set_state(key, key_state::unknown, options_.timers->now());
        replica_.mark(key);
    }
}

void service_owner::on_recover_reply(const member_id& from, const wire::recover_reply_data& data)
{
    if (recovery_)
    {
        recovery_->reply(from, data);
    }
}

void service_owner::block_cold_until(time_point until)
{
    if (until > cold_blocked_until_)
    {
        cold_blocked_until_ = until;
        admission_->block_cold_until(until);
    }
}

void service_owner::flush_waiting()
{
    std::vector<request_id> waiting;
    for (const auto& [id, entry] : active_)
    {
        if (!entry.submitted)
        {
            waiting.push_back(id);
        }
    }
    for (const request_id id : waiting)
    {
        if (const auto found = active_.find(id); found != active_.end())
        {
            process(found->second);
        }
    }
}

std::optional<service_copy> service_owner::hand_over()
{
    std::vector<request_id> unsent;
    for (const auto& [id, entry] : active_)
    {
        if (!entry.sent)
        {
            unsent.push_back(id);
        }
    }
    for (const request_id id : unsent)
    {
        const active_request& entry = active_.at(id);
        // The grant was never sent, so the request did not run. The witness learns of it from the
        // new owner, which compares with the dispatcher's answer.
        if (const auto* record = records_.find_by_request(id);
            record != nullptr && record->state <= key_state::granted)
        {
            records_.remove(std::string(record->key));
        }
        refuse(entry, decision_code::moved);
        drop(id);
    }
    if (!ready_)
    {
        return std::nullopt;
    }
    service_copy copy;
    copy.complete_epoch = complete_epoch_;
    copy.records = records_;
    copy.phases = admission_->phases();
    copy.phases_at = options_.timers->now();
    return copy;
}

} // namespace catkintally::core
