#pragma once

#include <catkintally/core/admission/crashing_request_detector.hpp>

#include <map>
#include <optional>
#include <string>

namespace catkintally::core
{

/// The requests of one service that hold a place, by id, with what is needed at their end.
class grant_table
{
public:
    /// One request that holds a place.
    struct grant
    {
        std::string target;
        std::string key;
        /// 0 if unknown.
        std::uint64_t fingerprint = 0;
        /// When the place is returned if no completion has arrived.
        time_point expires{};
        /// Position among all grants, from 1.
        std::uint64_t number = 0;
        /// Already counted in a crash of its target.
        bool crash_counted = false;
    };

    void add(request_id id, grant entry)
    {
        entry.number = ++added_;
        grants_.emplace(id, std::move(entry));
    }
    void remove(request_id id) { grants_.erase(id); }

    /// The grant, or null.
    [[nodiscard]] const grant* find(request_id id) const
    {
        const auto found = grants_.find(id);
        return found == grants_.end() ? nullptr : &found->second;
    }

    /// Some request whose place has expired.
    [[nodiscard]] std::optional<request_id> expired(time_point now) const;

    /// When the next place expires.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    /// Tells the guard of all requests in flight on a target that crashed. The later reports of the
    /// same crash find their requests counted.
    void record_target_crash(
        const std::string& target, crashing_request_detector& guard, time_point now);

private:
    std::map<request_id, grant> grants_;
    std::uint64_t added_ = 0;
};

} // namespace catkintally::core
