#pragma once

#include <catkintally/core/admission/crash_records.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
/// A request is refused once it has crashed several targets in a row: each time it was sent again
/// after the previous crash, and no target has responded to it in between. Crashes of targets that
/// ran the request at the same time, as when a failure domain loses power, count once. Refused
/// requests are kept apart (crash_records), so that crashes of other requests do not evict them.
class crash_history
{
public:
    /// `self` identifies this instance among all; not 0.
    explicit crash_history(std::uint64_t self = 1);

    /// Adds a crash that this instance observed or was notified of. Returns false if it is already
    /// known or past its retention time. A cleared crash stays known: notices of crashes and of
    /// clearances spread at the same time, and each instance forwards what is new to it, so a
    /// crash forgotten when cleared would be forwarded again.
    bool add(const target_crash& crash, time_point now);

    /// Records that a target responded to the request, which clears the request of its earlier
    /// crashes. Returns true if any of them was not cleared before.
    bool answered(std::uint64_t fingerprint, time_point now);

    /// Number of crashes in a row by the request.
    [[nodiscard]] std::uint32_t crashes_in_row(std::uint64_t fingerprint) const;

    /// Refuses a request before the usual number of crashes, because a further one could not be
    /// recorded. Returns the record for the other instances; nothing if the request is refused
    /// already or has been cleared.
    [[nodiscard]] std::optional<crash_record> refuse(std::uint64_t fingerprint);

    /// True if a target has responded to the request since all its known crashes, and there is one.
    [[nodiscard]] bool is_cleared(std::uint64_t fingerprint) const;

    /// Crashes that have not been cleared, of requests that are not refused yet, to be sent to
    /// instances that start.
    [[nodiscard]] std::vector<target_crash> suspected() const;

    /// The requests that are refused.
    [[nodiscard]] crash_records& refused() { return refused_; }
    [[nodiscard]] const crash_records& refused() const { return refused_; }

    /// Number of requests with a recorded crash.
    [[nodiscard]] std::size_t size() const { return suspects_.size(); }

    /// Retention time of a crash of a request that is not refused yet. An answer clears a common
    /// request long before, so that its chance crashes do not add up.
    static constexpr duration retention_time = std::chrono::hours(24);

private:
    struct known_crash
    {
        target_crash crash;
        /// A target has responded to the request since.
        bool cleared = false;
    };

    static time_point last_crash(const std::vector<known_crash>& crashes);
    /// Number of crashes in a row.
    [[nodiscard]] static std::uint32_t consecutive(const std::vector<known_crash>& crashes);
    void evict_if_full(time_point now);

    /// By fingerprint of the request; its crashes in order of time.
    std::map<std::uint64_t, std::vector<known_crash>> suspects_;
    crash_records refused_;
};

} // namespace catkintally::core
