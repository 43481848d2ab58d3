#include <catkintally/core/fleet/member_state.hpp>

#include <utility>

namespace catkintally::core
{

namespace
{

/// Phases that were not refreshed for this time say nothing about the present any more.
constexpr duration phase_lifetime = std::chrono::seconds(3);

/// A dispatcher keeps its record longer than the owner, so that its silence about a key proves that
/// the key was not dispatched.
constexpr duration own_record_margin = std::chrono::seconds(30);

} // namespace

member_state::service_entry& member_state::entry_of(const std::string& service)
{
    return services_[service];
}

void member_state::set_retention(const std::string& service, duration retention)
{
    service_entry& entry = entry_of(service);
    entry.retention = retention;
    entry.kept.records.set_retention(retention);
    entry.staged.records.set_retention(retention);
    entry.own.set_retention(retention + own_record_margin);
}

bool member_state::apply(const wire::witness_put_data& put)
{
    service_entry& entry = entry_of(put.service);
    const time_point now = timers_.now();
    staged_copy& staged = entry.staged;
    if (put.epoch < staged.epoch || (put.epoch == staged.epoch && put.sequence <= staged.sequence))
    {
        return false;
    }
    if (put.epoch > staged.epoch)
    {
        staged = {};
        staged.epoch = put.epoch;
        staged.records.set_retention(entry.retention);
    }
    staged.sequence = put.sequence;

    // Before the set is complete, records go to the staged copy, afterwards to the kept one.
    key_registry& records = staged.complete ? entry.kept.records : staged.records;
    for (const auto& data : put.records)
    {
        records.remove(data->key);
        records.merge(from_wire(*data, now));
    }
    for (const std::string& key : put.removed_keys)
    {
        records.remove(key);
    }
    if (!put.targets.empty())
    {
        entry.kept.phases.clear();
        for (const auto& data : put.targets)
        {
            entry.kept.phases.push_back(*data);
        }
        entry.kept.phases_at = now;
    }
    if (put.complete && !staged.complete)
    {
        staged.complete = true;
        entry.kept.records = std::exchange(staged.records, key_registry());
        entry.kept.records.set_retention(entry.retention);
        entry.kept.complete_epoch = put.epoch;
    }
    return true;
}

void member_state::keep(const std::string& service, service_copy copy)
{
    service_entry& entry = entry_of(service);
    entry.kept = std::move(copy);
    entry.kept.records.set_retention(entry.retention);
}

std::uint64_t member_state::complete_epoch(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.kept.complete_epoch;
}

key_registry& member_state::own_records(const std::string& service)
{
    return entry_of(service).own;
}

wire::recover_reply_data
member_state::recover_reply(const std::string& service, std::uint64_t epoch, const member_id& self)
{
    service_entry& entry = entry_of(service);
    const time_point now = timers_.now();
    wire::recover_reply_data reply;
    reply.epoch = epoch;
    reply.service = service;
    reply.complete_epoch = entry.kept.complete_epoch;

    // Own records replace copies of them. A copy of an own record that is no longer known here
    // belongs to a request that was not run. Copies from an earlier process of the same name stay.
    const std::string self_text = to_text(self);
    key_registry merged({.capacity = 0, .retention = entry.retention});
    const auto add = [&](const idempotency_record& record)
    {
        if (!own_names_.contains(record.dispatcher) || record.state > key_state::granted)
        {
            merged.merge(record);
        }
    };
    entry.kept.records.for_each(add);
    entry.staged.records.for_each(add);
    entry.own.for_each(
        [&](idempotency_record record)
        {
            record.dispatcher = self_text;
            merged.merge(record);
        });
    merged.for_each(
        [&](const idempotency_record& record) {
            reply.records.push_back(std::make_unique<wire::key_record_data>(to_wire(record, now)));
        });
    if (now - entry.kept.phases_at < phase_lifetime)
    {
        for (const wire::target_state_data& state : entry.kept.phases)
        {
            reply.targets.push_back(std::make_unique<wire::target_state_data>(state));
        }
    }
    return reply;
}

void member_state::expire()
{
    const time_point now = timers_.now();
    for (auto& [service, entry] : services_)
    {
        entry.kept.records.expire(now);
        entry.staged.records.expire(now);
        entry.own.expire(now);
    }
}

} // namespace catkintally::core
