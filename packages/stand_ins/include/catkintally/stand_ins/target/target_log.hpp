#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace catkintally::stand_ins
{

/// What the targets of one process really ran. Demo and fault bench compare it with what callers
/// were told.
class target_log
{
public:
    /// Counters of one target.
    struct counters
    {
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t shed = 0;
        std::uint64_t refused_cold = 0;
        /// Connections that were reset because the target was full.
        std::uint64_t reset_full = 0;
        std::uint64_t crashes = 0;
        std::uint64_t max_running = 0;
        std::uint64_t max_running_cold = 0;
        std::uint64_t started_after_drain = 0;
        /// Milliseconds between the drain and the last start after it.
        std::uint64_t last_start_after_drain_ms = 0;
    };

    /// Executions of one idempotency key over all targets.
    struct key_entry
    {
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
        /// Request id and target of the last start.
        std::string request_id;
        std::string target;
    };

    /// Counters of a target, created at the first use.
    counters& of(const std::string& target) { return targets_[target]; }

    /// Notes a start or a finish; requests without a key count only in the counters.
    void
    note_start(const std::string& target, const std::string& key, const std::string& request_id);
    void note_finish(const std::string& target, const std::string& key);

    [[nodiscard]] const std::map<std::string, key_entry>& keys() const { return keys_; }
    [[nodiscard]] boost::json::object to_json() const;
    void reset();

private:
    std::map<std::string, counters> targets_;
    std::map<std::string, key_entry> keys_;
};

} // namespace catkintally::stand_ins
