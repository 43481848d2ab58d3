#pragma once

#include <catkintally/core/admission/crash_record.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// What is to be done with a request that has arrived.
enum class crash_verdict : std::uint8_t
{
    /// It is not known to crash targets.
    admitted,
    /// It is refused.
    refused,
    /// It has not arrived for long. This instance claims the next attempt, and may send the request
    /// after crash_records::claim_time if no other instance has the better claim.
    claimed
};

/// What is to be done with a record that another instance has sent.
struct crash_record_news
{
    /// Other instances may not know it yet.
    bool forward = false;
    /// A target has responded to the request since, which the sender does not know.
    bool cleared = false;
    /// What the sender of a claim does not know: the request has not been quiet.
    std::optional<crash_record> reply;
};

/// Requests that have crashed several targets in a row. Such a request is refused as long as it
/// keeps arriving at any instance. Once it has not arrived for a quiet time, one instance may send
/// it once; the quiet time doubles with each further crash, and after `max_crashes` the request is
/// not sent again. A response of a target clears it.
class crash_records
{
public:
    /// `self` identifies this instance among the claimants; not 0.
    explicit crash_records(std::uint64_t self);

    struct arrival
    {
        crash_verdict verdict = crash_verdict::admitted;
        /// To be sent to the other instances.
        std::optional<crash_record> announcement;
    };

    /// Records an arrival of the request.
    [[nodiscard]] arrival note_arrival(std::uint64_t fingerprint, time_point now);

    /// True if this instance may send the request that it has claimed before.
    [[nodiscard]] bool has_claim(std::uint64_t fingerprint) const;

    /// Records `crashes` crashes in a row by the request, of which the last one was sent at
    /// `sent_at` and ended at `crashed_at`. A known request gets one more if it was sent after the
    /// latest known crash.
    void note_crash(
        std::uint64_t fingerprint,
        std::uint32_t crashes,
        time_point sent_at,
        time_point crashed_at);

    /// Adds a record that the platform's store holds. The request counts as having arrived now, as
    /// the time of its latest arrival is not known. Returns true if it was not refused before.
    bool restore(std::uint64_t fingerprint, std::uint32_t crashes, time_point now);

    /// Merges a record of another instance.
    crash_record_news merge(const crash_record& received, time_point now);

    /// Records that a target responded to the request. Returns true if it was refused before.
    bool clear(std::uint64_t fingerprint, time_point now);

    /// True if a target responded to the refused request after the crash.
    [[nodiscard]] bool is_cleared(std::uint64_t fingerprint, time_point crashed_at) const;

    [[nodiscard]] bool contains(std::uint64_t fingerprint) const;

    /// The record of the request, if there is one.
    [[nodiscard]] std::optional<crash_record> find(std::uint64_t fingerprint) const;

    /// Time for which the request must not arrive before it may be sent again; zero if it is not
    /// known.
    [[nodiscard]] duration quiet_time(std::uint64_t fingerprint) const;

    /// All records, to be sent to instances that start.
    [[nodiscard]] std::vector<crash_record> all(time_point now) const;

    [[nodiscard]] std::size_t size() const { return known_.size(); }

    /// Time between a claim and the attempt, in which all instances hear of the claim.
    static constexpr duration claim_time = std::chrono::milliseconds(500);

    /// Crashes after which the request is not sent again. The platform's rules allow three attempts
    /// after the third crash; the third one is left for an attempt that is under way while other
    /// instances do not know of it.
    static constexpr std::uint32_t max_crashes = 5;

    /// Maximum number of records.
    static constexpr std::size_t capacity = 1024;

private:
    struct entry
    {
        crash_record record;
        /// Time of the arrival that was last sent to the others or received from one.
        time_point announced_at{};
        time_point claimed_at{};
        /// Latest arrival that was known when this instance claimed the attempt.
        time_point arrived_before_claim{};
        /// Another instance knows a later arrival than that.
        bool vetoed = false;
    };

    [[nodiscard]] static duration quiet_time(const crash_record& record);
    [[nodiscard]] static bool is_claim_open(const entry& known, time_point now);
    /// Merges the claim of a record. True if it is better than the known ones.
    [[nodiscard]] bool
    merge_claim(entry& known, const crash_record& received, time_point now) const;
    entry& add(const crash_record& record);

    std::uint64_t self_;
    /// By fingerprint.
    std::map<std::uint64_t, entry> known_;
    /// Times of responses to requests that were refused, by fingerprint.
    std::map<std::uint64_t, time_point> cleared_;
};

/// Number by which an instance claims an attempt; not 0.
[[nodiscard]] std::uint64_t claimant_number(const std::string& instance, std::uint64_t seed);

} // namespace catkintally::core
