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

/// Maximum length of an idempotency key in bytes. The capacity times this length fits into one
/// message.
inline constexpr std::size_t max_key_bytes = 200;

/// Limits of a key_registry.
struct key_registry_options
{
    /// Maximum number of records; new keys beyond it are refused. All records must fit into one
    /// recover_reply.
    std::size_t capacity = 10'000;
    /// Time that a record is kept after its last change.
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

    /// Changes the retention time; it comes from the table.
    void set_retention(duration retention) { options_.retention = retention; }

    /// Returns the record of `key`, or nullptr if there is none.
    [[nodiscard]] const idempotency_record* find(const std::string& key) const;

    /// Returns the record of the key that the request carries, or nullptr if there is none.
    [[nodiscard]] const idempotency_record* find_by_request(request_id id) const;

    /// True if no new key can be inserted.
    [[nodiscard]] bool full() const { return records_.size() >= options_.capacity; }

    /// Adds a record for a new key; false if the registry is full. The key must not be known.
    bool insert(idempotency_record record);

    /// Changes the state of a known key.
    void set_state(const std::string& key, key_state state, time_point now);

    /// Assigns a known key to another attempt of the same request.
    void set_request(const std::string& key, request_id id, std::string dispatcher);

    /// Removes a key whose request is proven not to have run.
    void remove(const std::string& key);

    /// Adds a record from another member. Of two records for a key, the one closer to `done` is
    /// kept; in the same state, the one changed last. Recovered records are added even beyond the
    /// capacity.
    void merge(const idempotency_record& record);

    /// Removes records past their retention time.
    void expire(time_point now);

    /// Calls `visit` for every record, ordered by key.
    void for_each(const std::function<void(const idempotency_record&)>& visit) const;

    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    void insert_or_replace(idempotency_record record);

    key_registry_options options_;
    std::map<std::string, idempotency_record> records_;
    std::map<request_id, std::string> keys_by_request_;
    /// Keys ordered by the time of their last change.
    std::set<std::pair<time_point, std::string>> keys_by_change_;
};

} // namespace catkintally::core
