#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A crash of a target while it ran a request.
struct target_crash
{
    /// Identifies the request; see request_fingerprint.
    std::uint64_t fingerprint = 0;
    /// Name of the target; a new incarnation has a new name.
    std::string target;
    time_point sent_at{};
    time_point crashed_at{};
};

/// Crashes of targets by the request that they were running, observed by any instance of the fleet.
/// A request is refused for a minute once it has crashed several targets in a row: each time it was
/// sent again after the previous crash, and no target has responded to it in between. Crashes of
/// targets that ran the request at the same time, as when a failure domain loses power, count once.
class crash_history
{
public:
    /// Adds a crash that this instance observed or was notified of. Returns false if it is already
    /// known or past its retention time. A cleared crash stays known: notices of crashes and of
    /// clearances spread at the same time, and each instance forwards what is new to it, so a
    /// crash forgotten when cleared would be forwarded again.
    bool add(const target_crash& crash, time_point now);

    /// Records that a target responded to the request, which clears the request of its earlier
    /// crashes. Returns true if any of them was not cleared before.
    bool answered(std::uint64_t fingerprint);

    /// True if the request must be refused.
    [[nodiscard]] bool refuses(std::uint64_t fingerprint, time_point now) const;

    /// Crashes that have not been cleared, to be sent to instances that start.
    [[nodiscard]] std::vector<target_crash> suspected() const;

    /// Number of requests with a recorded crash.
    [[nodiscard]] std::size_t size() const { return records_.size(); }

    /// Retention time of a crash.
    static constexpr duration retention_time = std::chrono::seconds(60);

private:
    struct known_crash
    {
        target_crash crash;
        /// A target has responded to the request since.
        bool cleared = false;
    };

    static time_point last_crash(const std::vector<known_crash>& crashes);
    void evict_if_full(time_point now);

    /// By fingerprint of the request; its crashes in order of time.
    std::map<std::uint64_t, std::vector<known_crash>> records_;
};

} // namespace catkintally::core
