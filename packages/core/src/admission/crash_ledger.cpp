#include <catkintally/core/admission/crash_ledger.hpp>

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

time_point last_crash(const std::vector<target_crash>& crashes)
{
    return crashes.empty() ? time_point{} : crashes.back().crashed_at;
}

} // namespace

bool crash_ledger::add(const target_crash& crash, time_point now)
{
    assert(crash.fingerprint != 0);
    if (crash.crashed_at + memory <= now)
    {
        return false;
    }
    make_room(now);
    auto& crashes = records_[crash.fingerprint];
    std::erase_if(
        crashes, [now](const target_crash& each) { return each.crashed_at + memory <= now; });
    const bool known = std::any_of(
        crashes.begin(), crashes.end(),
        [&](const target_crash& each) { return each.target == crash.target; });
    if (known)
    {
        return false;
    }
    const auto place = std::upper_bound(
        crashes.begin(), crashes.end(), crash,
        [](const target_crash& a, const target_crash& b) { return a.crashed_at < b.crashed_at; });
    crashes.insert(place, crash);
    return true;
}

bool crash_ledger::answered(std::uint64_t fingerprint)
{
    return records_.erase(fingerprint) > 0;
}

bool crash_ledger::refuses(std::uint64_t fingerprint, time_point now) const
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end())
    {
        return false;
    }
    std::size_t in_a_row = 0;
    time_point before = time_point::min() + tolerance;
    for (const target_crash& each : found->second)
    {
        // Only a request that was sent again after a crash counts once more.
        if (each.crashed_at + memory > now && each.sent_at >= before - tolerance)
        {
            ++in_a_row;
            before = each.crashed_at;
        }
    }
    return in_a_row >= refused_after;
}

void crash_ledger::make_room(time_point now)
{
    if (records_.size() < max_records)
    {
        return;
    }
    std::erase_if(
        records_, [now](const auto& each) { return last_crash(each.second) + memory <= now; });
    if (records_.size() >= max_records)
    {
        records_.erase(std::min_element(
            records_.begin(), records_.end(),
            [](const auto& a, const auto& b)
            { return last_crash(a.second) < last_crash(b.second); }));
    }
}

} // namespace catkintally::core
