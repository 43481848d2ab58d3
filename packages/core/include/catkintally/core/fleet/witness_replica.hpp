#pragma once

#include <catkintally/core/idempotency/idempotency_record.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Hooks of a witness_replica.
struct witness_replica_options
{
    timer_service* timers = nullptr;
    std::string service;
    /// Sends to the witness of the present epoch.
    std::function<void(wire::witness_put_data)> send;
    /// Present record of a key, nullopt if the key was removed.
    std::function<std::optional<wire::key_record_data>(const std::string& key)> record;
    /// Present target phases.
    std::function<std::vector<wire::target_state_data>()> phases;
    /// Called whenever a key or the whole set became acknowledged.
    std::function<void()> progressed;
};

/// The owner's side of the witness copy of one service. Every changed key stays dirty until the
/// witness has acknowledged a put that carried its latest state. The set is marked complete only
/// after every key of a proven set is acknowledged.
class witness_replica
{
public:
    explicit witness_replica(witness_replica_options options)
        : options_(std::move(options))
    {
    }

    /// Starts a copy for an epoch. Without a witness, every key counts as acknowledged.
    void begin(std::uint64_t epoch, bool has_witness, std::vector<std::string> keys);

    /// The record set is proven; the copy may be marked complete.
    void set_proven();

    /// A record changed or was removed.
    void mark(const std::string& key);

    /// Sends what was marked since the last call.
    void flush();

    /// Handles the witness's answer.
    void acknowledged(const wire::witness_ack_data& ack);

    /// Repeats puts that were not acknowledged and refreshes the phases.
    void tick();

    /// True if the witness holds the latest state of `key`.
    [[nodiscard]] bool clean(const std::string& key) const;

    /// True if the witness holds the complete proven set of this epoch.
    [[nodiscard]] bool complete() const { return complete_; }

private:
    struct dirty_entry
    {
        /// Put that carried the latest state, 0 if none did.
        std::uint64_t sequence = 0;
    };

    void send_put(const std::vector<std::string>& keys, bool complete);
    void try_complete();

    witness_replica_options options_;
    std::uint64_t epoch_ = 0;
    bool has_witness_ = false;
    bool proven_ = false;
    bool complete_ = false;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t complete_sequence_ = 0;
    time_point last_sent_{};
    time_point last_phases_{};
    std::map<std::string, dirty_entry> dirty_;
    std::set<std::string> unsent_;
};

} // namespace catkintally::core
