#include <catkintally/core/admission/crash_records.hpp>
#include <catkintally/core/admission/split_mix.hpp>

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::seconds;

/// Quiet time of a request that has crashed three targets, and how often it doubles at most.
constexpr duration first_quiet_time = seconds(60);
constexpr std::uint32_t first_crashes = 3;
constexpr std::uint32_t max_doublings = 2;

/// Minimum time between two announcements of arrivals of one request. A third of the shortest quiet
/// time, so that one that is lost does not matter.
constexpr duration announcement_interval = seconds(20);

/// Claims within this time compete for the same attempt.
constexpr duration claim_lifetime = seconds(5);

/// Records are forgotten when the request has not arrived for this long.
constexpr duration record_lifetime = std::chrono::hours(6);

/// Messages carry ages instead of times, so the times that instances derive for one event differ by
/// the delay of the messages on their way.
constexpr duration clock_tolerance = seconds(1);

/// As in crash_history: a request that was sent before the latest crash has not followed it.
constexpr duration sending_tolerance = std::chrono::milliseconds(10);

} // namespace

std::uint64_t claimant_number(const std::string& instance, std::uint64_t seed)
{
    return split_mix(seed + std::hash<std::string>()(instance)).next() | 1U;
}

crash_records::crash_records(std::uint64_t self)
    : self_(self)
{
    assert(self != 0);
}

duration crash_records::quiet_time(const crash_record& record)
{
    const std::uint32_t further = std::max(record.crashes, first_crashes) - first_crashes;
    return first_quiet_time * (1U << std::min(further, max_doublings));
}

duration crash_records::quiet_time(std::uint64_t fingerprint) const
{
    const auto found = known_.find(fingerprint);
    return found == known_.end() ? duration::zero() : quiet_time(found->second.record);
}

bool crash_records::contains(std::uint64_t fingerprint) const
{
    return known_.contains(fingerprint);
}

std::optional<crash_record> crash_records::find(std::uint64_t fingerprint) const
{
    const auto found = known_.find(fingerprint);
    return found == known_.end() ? std::nullopt : std::optional(found->second.record);
}

bool crash_records::restore(std::uint64_t fingerprint, std::uint32_t crashes, time_point now)
{
    const auto found = known_.find(fingerprint);
    if (found != known_.end())
    {
        crash_record& record = found->second.record;
        record.crashes = std::max(record.crashes, crashes);
        return false;
    }
    // The processes may have ended between a crash and its record.
    add({.fingerprint = fingerprint,
         .crashes = std::max(crashes, first_crashes),
         .crashed_at = now,
         .arrived_at = now})
        .announced_at = now;
    return true;
}

bool crash_records::is_claim_open(const entry& known, time_point now)
{
    return known.record.claimant != 0 && now - known.claimed_at < claim_lifetime;
}

crash_records::arrival crash_records::note_arrival(std::uint64_t fingerprint, time_point now)
{
    const auto found = known_.find(fingerprint);
    if (found == known_.end())
    {
        return {};
    }
    entry& known = found->second;
    const time_point previous =
        std::exchange(known.record.arrived_at, std::max(known.record.arrived_at, now));
    const bool quiet =
        known.record.crashes < max_crashes && now - previous >= quiet_time(known.record);
    if (!quiet && now - known.announced_at < announcement_interval)
    {
        return {.verdict = crash_verdict::refused, .announcement = {}};
    }
    known.announced_at = now;
    if (!quiet)
    {
        crash_record announcement = known.record;
        announcement.claimant = is_claim_open(known, now) ? known.record.claimant : 0;
        return {.verdict = crash_verdict::refused, .announcement = announcement};
    }
    known.record.claimant = self_;
    known.claimed_at = now;
    known.arrived_before_claim = previous;
    known.vetoed = false;
    return {.verdict = crash_verdict::claimed, .announcement = known.record};
}

bool crash_records::has_claim(std::uint64_t fingerprint) const
{
    const auto found = known_.find(fingerprint);
    return found != known_.end() && found->second.record.claimant == self_ &&
           !found->second.vetoed && found->second.record.crashed_at < found->second.claimed_at;
}

void crash_records::note_crash(
    std::uint64_t fingerprint, std::uint32_t crashes, time_point sent_at, time_point crashed_at)
{
    const auto found = known_.find(fingerprint);
    if (found == known_.end())
    {
        add({.fingerprint = fingerprint,
             .crashes = crashes,
             .crashed_at = crashed_at,
             .arrived_at = crashed_at})
            .announced_at = crashed_at;
        return;
    }
    crash_record& record = found->second.record;
    if (sent_at >= record.crashed_at - sending_tolerance)
    {
        ++record.crashes;
    }
    record.crashes = std::max(record.crashes, crashes);
    record.crashed_at = std::max(record.crashed_at, crashed_at);
    record.arrived_at = std::max(record.arrived_at, crashed_at);
}

bool crash_records::merge_claim(entry& known, const crash_record& received, time_point now) const
{
    if (received.claimant == 0)
    {
        const bool own = known.record.claimant == self_ && is_claim_open(known, now);
        const bool later = received.arrived_at > known.arrived_before_claim + clock_tolerance;
        known.vetoed = known.vetoed || (own && later);
        return false;
    }
    if (is_claim_open(known, now) && known.record.claimant <= received.claimant)
    {
        return false;
    }
    if (!is_claim_open(known, now))
    {
        known.claimed_at = now;
    }
    known.record.claimant = received.claimant;
    return true;
}

crash_record_news crash_records::merge(const crash_record& received, time_point now)
{
    if (is_cleared(received.fingerprint, received.crashed_at - clock_tolerance))
    {
        return {.forward = false, .cleared = true, .reply = {}};
    }
    const bool usable = received.fingerprint != 0 && received.crashes >= first_crashes &&
                        now - received.arrived_at < record_lifetime;
    if (!usable)
    {
        return {};
    }
    const auto found = known_.find(received.fingerprint);
    if (found == known_.end())
    {
        entry& added = add(received);
        added.announced_at = received.arrived_at;
        added.claimed_at = received.arrived_at;
        return {.forward = true, .cleared = false, .reply = {}};
    }
    entry& known = found->second;
    const duration quiet = received.arrived_at - known.record.arrived_at;
    if (received.claimant != 0 && !is_claim_open(known, now) &&
        quiet + clock_tolerance < quiet_time(known.record))
    {
        crash_record reply = known.record;
        reply.claimant = 0;
        known.record.arrived_at = std::max(known.record.arrived_at, received.arrived_at);
        return {.forward = false, .cleared = false, .reply = reply};
    }
    const bool better_claim = merge_claim(known, received, now);
    const bool more_crashes = received.crashes > known.record.crashes;
    const bool later_arrival =
        received.arrived_at >= known.announced_at + announcement_interval / 2;
    known.record.crashes = std::max(known.record.crashes, received.crashes);
    known.record.crashed_at = std::max(known.record.crashed_at, received.crashed_at);
    known.record.arrived_at = std::max(known.record.arrived_at, received.arrived_at);
    if (!better_claim && !more_crashes && !later_arrival)
    {
        return {};
    }
    known.announced_at = std::max(known.announced_at, received.arrived_at);
    return {.forward = true, .cleared = false, .reply = {}};
}

crash_records::entry& crash_records::add(const crash_record& record)
{
    if (known_.size() >= capacity)
    {
        known_.erase(std::min_element(
            known_.begin(), known_.end(),
            [](const auto& a, const auto& b)
            { return a.second.record.arrived_at < b.second.record.arrived_at; }));
    }
    cleared_.erase(record.fingerprint);
    entry& added = known_[record.fingerprint];
    added.record = record;
    return added;
}

bool crash_records::clear(std::uint64_t fingerprint, time_point now)
{
    if (known_.erase(fingerprint) == 0)
    {
        return false;
    }
    if (cleared_.size() >= capacity)
    {
        cleared_.erase(std::min_element(
            cleared_.begin(), cleared_.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    cleared_[fingerprint] = now;
    return true;
}

bool crash_records::is_cleared(std::uint64_t fingerprint, time_point crashed_at) const
{
    const auto found = cleared_.find(fingerprint);
    return found != cleared_.end() && crashed_at <= found->second;
}

std::vector<crash_record> crash_records::all(time_point now) const
{
    std::vector<crash_record> records;
    for (const auto& [fingerprint, known] : known_)
    {
        if (now - known.record.arrived_at < record_lifetime)
        {
            crash_record& added = records.emplace_back(known.record);
            added.claimant = is_claim_open(known, now) ? known.record.claimant : 0;
        }
    }
    return records;
}

} // namespace catkintally::core
