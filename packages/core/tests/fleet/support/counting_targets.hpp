#pragma once

#include <catkintally/core/admission/admission_request.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace catkintally::core::test
{

/// Targets that count what runs on them.
class counting_targets
{
public:
    /// Slots of each target; a target whose limit has grown to this number is warm.
    static constexpr std::uint32_t slots = 4;

    /// A request starts to run.
    void start(const std::string& target, request_id id, const std::string& key)
    {
        state& entry = targets_[target];
        ++entry.running;
        entry.most_running = std::max(entry.most_running, entry.running);
        // A cold target carries one request, and its limit grows by one after as many successes.
        std::uint32_t limit = 1;
        for (std::uint32_t left = entry.successes; left >= limit; ++limit)
        {
            left -= limit;
        }
        entry.cold_excess = entry.cold_excess || (limit < slots && entry.running > limit);
        ++runs_by_request_[id];
        if (!key.empty())
        {
            ++runs_by_key_[key];
        }
        ++total_;
    }

    /// A request ends well.
    void finish(const std::string& target)
    {
        state& entry = targets_[target];
        --entry.running;
        ++entry.successes;
    }

    [[nodiscard]] int runs(request_id id) const { return count(runs_by_request_, id); }
    [[nodiscard]] int key_runs(const std::string& key) const { return count(runs_by_key_, key); }
    [[nodiscard]] int total() const { return total_; }

    /// Largest number of runs of any key.
    [[nodiscard]] int most_key_runs() const
    {
        int most = 0;
        for (const auto& [key, runs] : runs_by_key_)
        {
            most = std::max(most, runs);
        }
        return most;
    }

    /// True if a target had more requests than its cold limit allowed.
    [[nodiscard]] bool cold_excess() const
    {
        return std::any_of(
            targets_.begin(), targets_.end(),
            [](const auto& entry) { return entry.second.cold_excess; });
    }

private:
    struct state
    {
        std::uint32_t running = 0;
        std::uint32_t most_running = 0;
        std::uint32_t successes = 0;
        bool cold_excess = false;
    };

    template <typename Map, typename Key>
    static int count(const Map& map, const Key& key)
    {
        const auto found = map.find(key);
        return found == map.end() ? 0 : found->second;
    }

    std::map<std::string, state> targets_;
    std::map<request_id, int> runs_by_request_;
    std::map<std::string, int> runs_by_key_;
    int total_ = 0;
};

} // namespace catkintally::core::test
