#include <catkintally/core/admission/crash_history.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{

namespace
{

/// Consecutive crashes after which a request is refused. Two may be a coincidence where targets
/// crash often; the platform's rules limit what may follow the third.
constexpr std::size_t refusal_threshold = 3;

/// Maximum number of requests recorded; bounds the memory used when many targets crash.
constexpr std::size_t max_records = 1024;

/// Crash notices carry ages instead of times, so the times that instances derive for one crash
/// differ by about the network delay of a message.
constexpr duration clock_tolerance = std::chrono::milliseconds(10);

} // namespace

time_point crash_history::last_crash(const std::vector<known_crash>& crashes)
{
    return crashes.empty() ? time_point{} : crashes.back().crash.crashed_at;
}

bool crash_history::add(const target_crash& crash, time_point now)
{
    assert(crash.fingerprint != 0);
    if (crash.crashed_at + retention_time <= now)
    {
        return false;
    }
    evict_if_full(now);
    auto& crashes = records_[crash.fingerprint];
    std::erase_if(
        crashes,
        [now](const known_crash& each) { return each.crash.crashed_at + retention_time <= now; });
    const bool known = std::any_of(
        crashes.begin(), crashes.end(),
        [&](const known_crash& each) { return each.crash.target == crash.target; });
    if (known)
    {
        return false;
    }
    const auto position = std::upper_bound(
        crashes.begin(), crashes.end(), crash.crashed_at,
        [](time_point at, const known_crash& each) { return at < each.crash.crashed_at; });
    crashes.insert(position, {.crash = crash});
    return true;
}

bool crash_history::answered(std::uint64_t fingerprint)
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end())
    {
        return false;
    }
    bool suspected = false;
    for (known_crash& each : found->second)
    {
        suspected = suspected || !each.cleared;
        each.cleared = true;
    }
    return suspected;
}

bool crash_history::refuses(std::uint64_t fingerprint, time_point now) const
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end())
    {
        return false;
    }
    std::size_t consecutive = 0;
    time_point previous_crash = time_point::min() + clock_tolerance;
    for (const known_crash& each : found->second)
    {
        const target_crash& crash = each.crash;
        // Counts only if the request was sent again after the previous counted crash.
        if (!each.cleared && crash.crashed_at + retention_time > now &&
            crash.sent_at >= previous_crash - clock_tolerance)
        {
            ++consecutive;
            previous_crash = crash.crashed_at;
        }
    }
    return consecutive >= refusal_threshold;
}

std::vector<target_crash> crash_history::suspected() const
{
    std::vector<target_crash> crashes;
    for (const auto& [fingerprint, known] : records_)
    {
        for (const known_crash& each : known)
        {
            if (!each.cleared)
            {
                crashes.push_back(each.crash);
            }
        }
    }
    return crashes;
}

void crash_history::evict_if_full(time_point now)
{
    if (records_.size() < max_records)
    {
        return;
    }
    std::erase_if(
        records_,
        [now](const auto& each) { return last_crash(each.second) + retention_time <= now; });
    if (records_.size() >= max_records)
    {
        records_.erase(std::min_element(
            records_.begin(), records_.end(),
            [](const auto& a, const auto& b)
            { return last_crash(a.second) < last_crash(b.second); }));
    }
}

} // namespace catkintally::core
