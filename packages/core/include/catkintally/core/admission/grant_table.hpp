#pragma once

#include <catkintally/core/admission/crashing_request_detector.hpp>

#include <map>
#include <optional>
#include <string>

namespace catkintally::core
{

/// The granted requests of one service by id, with the data needed when they finish.
class grant_table
{
public:
    /// One granted request.
    struct grant
    {
        std::string target;
        std::string key;
        /// 0 if unknown.
        std::uint64_t fingerprint = 0;
        /// When the place is released if no completion has arrived.
        time_point expires{};
        /// Sequence number among all grants, starting at 1.
        std::uint64_t number = 0;
        /// Already recorded in a crash of its target.
        bool crash_counted = false;
    };

    void add(request_id id, grant entry)
    {
        entry.number = ++added_;
        grants_.emplace(id, std::move(entry));
    }
    void remove(request_id id) { grants_.erase(id); }

    /// Returns the grant, or null if unknown.
    [[nodiscard]] const grant* find(request_id id) const
    {
        const auto found = grants_.find(id);
        return found == grants_.end() ? nullptr : &found->second;
    }

    /// Returns a request whose place has expired; empty if there is none.
    [[nodiscard]] std::optional<request_id> expired(time_point now) const;

    /// Earliest expiry of a place; empty without grants.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    /// Records with the detector all requests in flight on a crashed target. Each request is
    /// recorded once, so that later reports of the same crash have no effect.
    void record_target_crash(
        const std::string& target, crashing_request_detector& detector, time_point now);

private:
    std::map<request_id, grant> grants_;
    std::uint64_t added_ = 0;
};

} // namespace catkintally::core
