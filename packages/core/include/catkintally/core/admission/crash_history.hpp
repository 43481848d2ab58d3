#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A target crashed while it ran a request.
struct target_crash
{
    /// Identity of the request; see request_fingerprint.
    std::uint64_t fingerprint = 0;
    /// Name of the target; a new incarnation has another one.
    std::string target;
    time_point sent_at{};
    time_point crashed_at{};
};

/// What the instances know together about requests that may crash each target that runs them. A
/// request is refused for a minute once it has crashed several targets one after the other and no
/// target has answered it in between: it was sent again each time after the crash before. Requests
/// that were in flight together when a failure domain lost power count once.
class crash_history
{
public:
    /// Adds a crash that this instance saw or heard of; false if it is known already. A crash stays
    /// known when it is cleared: notices of both go round at the same time, and each instance
    /// passes on what is new to it.
    bool add(const target_crash& crash, time_point now);

    /// A target answered the request, so it is not the cause of the crashes before. True if it was
    /// suspected.
    bool answered(std::uint64_t fingerprint);

    /// True if the request must be refused.
    [[nodiscard]] bool refuses(std::uint64_t fingerprint, time_point now) const;

    /// Crashes whose requests have not been answered since, for instances that start.
    [[nodiscard]] std::vector<target_crash> suspected() const;

    /// Requests that are remembered.
    [[nodiscard]] std::size_t size() const { return records_.size(); }

    /// How long a crash is remembered.
    static constexpr duration retention_time = std::chrono::seconds(60);

private:
    struct known_crash
    {
        target_crash crash;
        /// The request was answered afterwards.
        bool cleared = false;
    };

    static time_point last_crash(const std::vector<known_crash>& crashes);
    void evict_if_full(time_point now);

    /// By fingerprint, in order of the crashes.
    std::map<std::uint64_t, std::vector<known_crash>> records_;
};

} // namespace catkintally::core
