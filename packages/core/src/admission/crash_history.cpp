#include <catkintally/core/admission/crash_history.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{

namespace
{

/// Consecutive crashes after which a request is refused. Two may be a coincidence where targets
/// crash often; the platform's rules limit what may follow the third.
constexpr std::uint32_t refusal_threshold = 3;

/// Maximum number of requests recorded that are not refused yet; bounds the memory used when many
/// targets crash.
constexpr std::size_t max_records = 1024;

/// Maximum number of crashes recorded for one of them.
constexpr std::size_t max_crashes = 64;

/// Two notices that name the same target are of one crash if the times differ by less than this:
/// an instance that was frozen derives a later time. A target may start again under its name.
constexpr duration same_crash_time = std::chrono::seconds(60);

/// Crash notices carry ages instead of times, so the times that instances derive for one crash
/// differ by about the network delay of a message.
constexpr duration clock_tolerance = std::chrono::milliseconds(10);

} // namespace

crash_history::crash_history(std::uint64_t self)
    : refused_(self)
{
}

time_point crash_history::last_crash(const std::vector<known_crash>& crashes)
{
    return crashes.empty() ? time_point{} : crashes.back().crash.crashed_at;
}

bool crash_history::add(const target_crash& crash, time_point now)
{
    assert(crash.fingerprint != 0);
    const bool expired = crash.crashed_at + retention_time <= now;
    if (expired || refused_.is_cleared(crash.fingerprint, crash.crashed_at))
    {
        return false;
    }
    evict_if_full(now);
    auto& crashes = suspects_[crash.fingerprint];
    std::erase_if(
        crashes,
        [now](const known_crash& each) { return each.crash.crashed_at + retention_time <= now; });
    const bool known = std::any_of(
        crashes.begin(), crashes.end(),
        [&](const known_crash& each)
        {
            return each.crash.target == crash.target &&
                   std::chrono::abs(each.crash.crashed_at - crash.crashed_at) < same_crash_time;
        });
    const bool full = crashes.size() >= max_crashes;
    if (known || (full && crash.crashed_at <= crashes.front().crash.crashed_at))
    {
        return false;
    }
    if (full)
    {
        crashes.erase(crashes.begin());
    }
    const auto position = std::upper_bound(
        crashes.begin(), crashes.end(), crash.crashed_at,
        [](time_point at, const known_crash& each) { return at < each.crash.crashed_at; });
    crashes.insert(position, {.crash = crash});
    const std::uint32_t in_row = consecutive(crashes);
    if (in_row >= refusal_threshold || refused_.contains(crash.fingerprint))
    {
        refused_.note_crash(crash.fingerprint, in_row, crash.sent_at, crash.crashed_at);
    }
    return true;
}

bool crash_history::answered(std::uint64_t fingerprint, time_point now)
{
    bool suspected = refused_.clear(fingerprint, now);
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end())
    {
        return suspected;
    }
    for (known_crash& each : found->second)
    {
        suspected = suspected || !each.cleared;
        each.cleared = true;
    }
    return suspected;
}

std::uint32_t crash_history::consecutive(const std::vector<known_crash>& crashes)
{
    std::uint32_t counted = 0;
    time_point previous_crash = time_point::min() + clock_tolerance;
    for (const known_crash& each : crashes)
    {
        const target_crash& crash = each.crash;
        // Counts only if the request was sent again after the previous counted crash.
        if (!each.cleared && crash.sent_at >= previous_crash - clock_tolerance)
        {
            ++counted;
            previous_crash = crash.crashed_at;
        }
    }
    return counted;
}

std::uint32_t crash_history::crashes_in_row(std::uint64_t fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? 0 : consecutive(found->second);
}

std::optional<crash_record> crash_history::refuse(std::uint64_t fingerprint)
{
    if (crashes_in_row(fingerprint) == 0 || refused_.contains(fingerprint))
    {
        return std::nullopt;
    }
    const target_crash& last = suspects_.at(fingerprint).back().crash;
    refused_.note_crash(fingerprint, refusal_threshold, last.sent_at, last.crashed_at);
    return refused_.find(fingerprint);
}

bool crash_history::is_cleared(std::uint64_t fingerprint) const
{
    if (refused_.contains(fingerprint) || crashes_in_row(fingerprint) > 0)
    {
        return false;
    }
    return suspects_.contains(fingerprint) || refused_.is_cleared(fingerprint, time_point::min());
}

std::vector<target_crash> crash_history::suspected() const
{
    std::vector<target_crash> crashes;
    for (const auto& [fingerprint, known] : suspects_)
    {
        if (refused_.contains(fingerprint))
        {
            continue;
        }
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
    if (suspects_.size() < max_records)
    {
        return;
    }
    std::erase_if(
        suspects_,
        [now](const auto& each) { return last_crash(each.second) + retention_time <= now; });
    if (suspects_.size() >= max_records)
    {
        suspects_.erase(std::min_element(
            suspects_.begin(), suspects_.end(),
            [](const auto& a, const auto& b)
            { return last_crash(a.second) < last_crash(b.second); }));
    }
}

} // namespace catkintally::core
