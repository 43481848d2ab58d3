#include <catkintally/core/admission/crash_history.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{

namespace
{

/// Crashes in a row after which a request is refused. Two may be a coincidence where targets crash
/// often; the platform's rules bound what follows the third.
constexpr std::size_t refused_after = 3;

/// Requests remembered; bounds the memory that a wave of crashes can take up.
constexpr std::size_t max_records = 1024;

/// Ages travel between instances, so that times of different instances differ by about a message's
/// way.
constexpr duration tolerance = std::chrono::milliseconds(10);

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
    const auto place = std::upper_bound(
        crashes.begin(), crashes.end(), crash.crashed_at,
        [](time_point at, const known_crash& each) { return at < each.crash.crashed_at; });
    crashes.insert(place, {.crash = crash});
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
    std::size_t in_a_row = 0;
    time_point before = time_point::min() + tolerance;
    for (const known_crash& each : found->second)
    {
        const target_crash& crash = each.crash;
        // Only a request that was sent again after a crash counts once more.
        if (!each.cleared && crash.crashed_at + retention_time > now &&
            crash.sent_at >= before - tolerance)
        {
            ++in_a_row;
            before = crash.crashed_at;
        }
    }
    return in_a_row >= refused_after;
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
