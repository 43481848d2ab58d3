#include <catkintally/core/fleet/witness_replica.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

namespace
{

/// An unacknowledged put is repeated after this time.
constexpr duration repeat_after = milliseconds(100);

/// The witness treats older phases as unknown, so they are sent again before that.
constexpr duration phase_refresh = milliseconds(1000);

/// Records in one put: 2,000 records of the largest size stay below the frame limit.
constexpr std::size_t records_per_put = 2'000;

} // namespace

void witness_replica::begin(std::uint64_t epoch, bool has_witness, std::vector<std::string> keys)
{
    epoch_ = epoch;
    // Sequences of one process rise over the lifetimes of several replicas of a service.
    const auto clock =
        static_cast<std::uint64_t>(options_.timers->now().time_since_epoch().count());
    next_sequence_ = std::max(next_sequence_, clock + 1);
    has_witness_ = has_witness;
    complete_ = false;
    complete_sequence_ = 0;
    dirty_.clear();
    unsent_.clear();
    last_phases_ = {};
    if (has_witness_)
    {
        for (std::string& key : keys)
        {
            dirty_.try_emplace(key);
            unsent_.insert(std::move(key));
        }
        // The first put also tells the witness the phases.
        send_put({}, false);
    }
    flush();
    try_complete();
}

void witness_replica::set_proven()
{
    proven_ = true;
    try_complete();
}

void witness_replica::mark(const std::string& key)
{
    if (has_witness_)
    {
        dirty_[key].sequence = 0;
        unsent_.insert(key);
    }
}

void witness_replica::flush()
{
    while (!unsent_.empty())
    {
        std::vector<std::string> keys;
        while (!unsent_.empty() && keys.size() < records_per_put)
        {
            keys.push_back(std::move(unsent_.extract(unsent_.begin()).value()));
        }
        send_put(keys, false);
    }
}

void witness_replica::send_put(const std::vector<std::string>& keys, bool complete)
{
    wire::witness_put_data put;
    put.sequence = next_sequence_++;
    put.epoch = epoch_;
    put.service = options_.service;
    put.complete = complete;
    for (const std::string& key : keys)
    {
        dirty_[key].sequence = put.sequence;
        if (auto record = options_.record(key))
        {
            put.records.push_back(std::make_unique<wire::key_record_data>(std::move(*record)));
        }
        else
        {
            put.removed_keys.push_back(key);
        }
    }
    if (complete)
    {
        complete_sequence_ = put.sequence;
    }
    last_sent_ = options_.timers->now();
    // Phases travel alone or with the completion, to keep the put of a single key small.
    if (keys.empty())
    {
        last_phases_ = last_sent_;
        for (auto& state : options_.phases())
        {
            put.targets.push_back(std::make_unique<wire::target_state_data>(std::move(state)));
        }
    }
    options_.send(std::move(put));
}

void witness_replica::acknowledged(const wire::witness_ack_data& ack)
{
    if (ack.epoch != epoch_ || !ack.accepted)
    {
        return;
    }
    std::erase_if(dirty_, [&](const auto& entry) { return entry.second.sequence == ack.sequence; });
    if (complete_sequence_ != 0 && ack.sequence == complete_sequence_)
    {
        complete_ = true;
    }
    try_complete();
    options_.progressed();
}

void witness_replica::try_complete()
{
    if (complete_ || !proven_ || epoch_ == 0)
    {
        return;
    }
    if (!has_witness_)
    {
        complete_ = true;
        options_.progressed();
    }
    else if (dirty_.empty() && complete_sequence_ == 0)
    {
        send_put({}, true);
    }
}

void witness_replica::tick()
{
    if (!has_witness_)
    {
        return;
    }
    const time_point now = options_.timers->now();
    const bool waiting = !dirty_.empty() || (complete_sequence_ != 0 && !complete_);
    if (waiting && now - last_sent_ >= repeat_after)
    {
        for (const auto& [key, entry] : dirty_)
        {
            unsent_.insert(key);
        }
        flush();
        if (complete_sequence_ != 0 && !complete_)
        {
            complete_sequence_ = 0;
            try_complete();
        }
    }
    if (now - last_phases_ >= phase_refresh)
    {
        send_put({}, false);
    }
}

bool witness_replica::clean(const std::string& key) const
{
    return !dirty_.contains(key);
}

} // namespace catkintally::core
