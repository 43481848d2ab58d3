#pragma once

#include <catkintally/core/idempotency/idempotency_record.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Longest accepted idempotency key in bytes. Capacity times this length fits into one message.
inline constexpr std::size_t max_key_bytes = 200;

/// Limits of a key_registry.
struct key_registry_options
{
    /// New records beyond this number are refused. A whole set must fit into one recover_reply.
    std::size_t capacity = 10'000;
    /// How long a record is kept after its last change.
    duration retention = std::chrono::minutes(10);
};

/// Idempotency records of one service. A record leaves the registry only by remove() or after its
/// retention time; a full registry refuses new keys instead of evicting.
class key_registry
{
public:
    key_registry() = default;
    explicit key_registry(key_registry_options options)
        : options_(options)
    {
    }

    /// Takes over another retention time from the table.
    void set_retention(duration retention) { options_.retention = retention; }

    /// Record of `key`, nullptr if there is none.
    [[nodiscard]] const idempotency_record* find(const std::string& key) const;

    /// Record of the key that this request carries, nullptr if there is none.
    [[nodiscard]] const idempotency_record* find_by_request(request_id id) const;

    /// True if no new key fits.
    [[nodiscard]] bool full() const { return records_.size() >= options_.capacity; }

    /// Adds a record for a new key; false if the registry is full. The key must not be known.
    bool insert(idempotency_record record);

    /// Changes the state of a known key.
    void set_state(const std::string& key, key_state state, time_point now);

    /// Hands a known key to another attempt of the same request.
    void set_request(const std::string& key, request_id id, std::string dispatcher);

    /// Forgets a key whose request was proven not to have run.
    void remove(const std::string& key);

    /// Adds a record from another member. Of two records for a key, the one further towards `done`
    /// stays. Recovered records are added even beyond the capacity.
    void merge(const idempotency_record& record);

    /// Drops records past their retention time.
    void expire(time_point now);

    /// Calls `visit` for every record in order of key.
    void for_each(const std::function<void(const idempotency_record&)>& visit) const;

    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    void store(idempotency_record record);

    key_registry_options options_;
    std::map<std::string, idempotency_record> records_;
    std::map<request_id, std::string> keys_by_request_;
    /// Keys in order of their last change.
    std::set<std::pair<time_point, std::string>> order_;
};

} // namespace catkintally::core
