#pragma once

#include <catkintally/core/admission/admission_request.hpp>

#include <functional>
#include <map>
#include <string>

namespace catkintally::core
{

/// Recognises a request that crashes each target that runs it. A request is refused for 60 s if it
/// was in flight on a target that crashed, was granted again afterwards, and was in flight on a
/// second target that crashed. An answer in between clears it: a common request may be in flight at
/// many crashes without being their cause.
class crashing_request_detector
{
public:
    /// Records that a request was in flight on `target` when it crashed. `grant_number` counts the
    /// grants of the service, and `grants_before` is their count at the crash. Times do not serve
    /// here: the grant of a retry may carry the same time as the crash.

    void crashed(
        std::uint64_t fingerprint,
        const std::string& key,
        const std::string& target,
        std::uint64_t grant_number,
        std::uint64_t grants_before,
        time_point now);

    /// Records that a target answered the request.
    void answered(std::uint64_t fingerprint, const std::string& key);

    /// True if the request must be refused.
    [[nodiscard]] bool
    is_refused(std::uint64_t fingerprint, const std::string& key, time_point now) const;

    /// True if the request was in flight at a crash and has not been answered since.
    [[nodiscard]] bool
    is_suspect(std::uint64_t fingerprint, const std::string& key, time_point now) const;

    /// Number of identities refused now.
    [[nodiscard]] std::size_t refused_count(time_point now) const;

    /// How long a request stays refused, and how long a single crash is remembered.
    static constexpr duration retention_time = std::chrono::seconds(60);

private:
    static constexpr std::size_t max_records = 1024;

    struct record
    {
        std::string target;
        std::uint64_t grants_before = 0;
        time_point crashed_at{};
        time_point refused_until{};
    };

    void evict_if_full(time_point now);

    /// True if a record of the request matches.
    [[nodiscard]] bool any_record(
        std::uint64_t fingerprint,
        const std::string& key,
        const std::function<bool(const record&)>& matches) const;

    /// By "f" + fingerprint and by "k" + key.
    std::map<std::string, record> records_;
};

} // namespace catkintally::core
