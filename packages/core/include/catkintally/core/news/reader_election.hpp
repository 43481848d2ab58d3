#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/news/store_outage.hpp>
#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace catkintally::core
{

using wire::reader_state;

/// How long an instance's link takes for a large configuration, compared with what others may have.
enum class link_speed : std::uint8_t
{
    unknown,
    slow,
    fast
};

/// Fixed inputs of a reader_election.
struct reader_election_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// Id of this incarnation of the instance; unique in the fleet.
    std::string self;
    std::uint64_t seed = 0;
    /// Number of instances that read the store in normal operation. Two, so that updates continue
    /// without a gap if one fails.
    std::size_t desired_readers = 2;
    /// The configuration is considered stale if no reader reported success for this long. Readers
    /// report every second, and two of them rarely at the same time. A change must be in force
    /// within two seconds; the remaining time is for reading the store.
    duration stale_after = std::chrono::milliseconds(1500);
    /// Upper bound of the random delay after which an instance with a stale configuration starts to
    /// read the store. The delay lets the first one that reads inform the others.
    duration takeover_spread = std::chrono::milliseconds(250);
    /// Of the instances with a stale configuration, those with a fast link draw delays in the first
    /// part of that time and those with a slow one in the rest: a configuration of 1 MB takes 840
    /// ms at 10 Mbit/s.
    link_speed speed = link_speed::unknown;
    /// Upper bound of the same delay for an instance that is starting. Longer, because all
    /// instances may start together, and their links need some hundred milliseconds to come up
    /// before the first reader can inform the others.
    duration start_spread = std::chrono::milliseconds(1500);
    /// True if other instances connect to this one when they start; it then reads the store early.
    bool is_seed = false;
    /// Estimated number of live instances.
    std::function<std::size_t()> instances;
    /// Called when this instance must start (true) or stop (false) reading the store.
    std::function<void(bool)> on_reading_changed;
    /// Reports the state of this instance's store calls to the other instances.
    std::function<void(reader_state)> announce;
    /// True while a neighbour's reply with the current configuration is pending; may be empty.
    std::function<bool()> awaits_update{};
    /// Called when the store answers an instance again after an outage; may be empty. The loss of
    /// the readers alone is no outage.
    std::function<void()> on_store_returned{};
};

/// Decides whether this instance reads the store itself or relies on the updates that other
/// instances forward. The decision is local and there is no leader: each instance uses the readers'
/// reports on their store calls. When these stop or report failure, every instance calls the store
/// once within `takeover_spread` unless it hears of one that the store answers; with exponential
/// delays, few do if the store answers most. Lists can take as long as that delay, so word goes out
/// before them, and the others wait for their end once, for half a second at most. The store may be
/// rejecting all but one instance, so a number of failures does not stop the others. While it
/// answers nobody, four instances keep calling at short intervals, and each other one calls again 2
/// to 3 s after its last failure.
class reader_election
{
public:
    explicit reader_election(reader_election_options options);
    ~reader_election();
    reader_election(const reader_election&) = delete;
    reader_election& operator=(const reader_election&) = delete;

    /// Starts to decide whether to read the store.
    void start();

    /// Records a reader's report on its store calls; `age` is the age of the report.
    void on_reader_state(const std::string& reader, reader_state state, duration age);

    /// Records that the store has answered the first call of this instance, which lists the objects
    /// now. Ignored if this instance is not a reader.
    void on_store_probed();

    /// Records the outcome of a store call of this instance; `reached` is true if the store
    /// answered. Ignored if this instance is not a reader.
    void on_store_call(bool reached);

    /// True if this instance reads the store.
    [[nodiscard]] bool is_reading() const { return reading_; }

    /// True if the store answered this instance, or a reader whose reports it receives, within
    /// `stale_after`.
    [[nodiscard]] bool is_fresh() const;

    /// True while the store answers no known instance, and calls have failed for some time.
    [[nodiscard]] bool is_store_away() const { return outage_.is_lasting(options_.timers->now()); }

    /// Time of the latest known successful store call of any reader; nullopt before the first
    /// report.
    [[nodiscard]] std::optional<time_point> last_store_contact() const { return last_reached_; }

private:
    /// Reason for this instance to start reading the store.
    enum class need : std::uint8_t
    {
        none,
        /// No reader has reported success recently.
        updates,
        /// The same, but another instance is listing the objects.
        lists,
        /// The same, but the last call of this instance has failed.
        retry,
        /// There are fewer readers than `desired_readers`.
        second_reader
    };
    struct reader
    {
        std::optional<time_point> reached;
        std::optional<time_point> failed;
        /// When its first call was in progress.
        std::optional<time_point> asking;
        /// When its first call was answered and it began to list the objects.
        std::optional<time_point> answered;
    };

    void record_state(const std::string& name, reader_state state, time_point at);
    void evaluate();
    void schedule_start(need wanted);
    void start_reading_if_needed();
    void set_reading(bool reading);
    [[nodiscard]] std::size_t fresh_readers() const;
    [[nodiscard]] std::size_t better_ranked_readers(bool failing) const;
    [[nodiscard]] bool is_redundant() const;
    [[nodiscard]] need current_need() const;
    [[nodiscard]] bool has_failed_lately() const;
    /// True if no reader is known that the store answers.
    [[nodiscard]] bool has_lost_readers() const;
    [[nodiscard]] std::size_t failing_readers() const;
    [[nodiscard]] std::size_t asking_readers() const;
    /// True if this instance leaves the store to another one that is listing the objects.
    [[nodiscard]] bool awaits_lists() const;
    [[nodiscard]] bool is_listing_elsewhere() const;
    [[nodiscard]] bool is_recent(const std::optional<time_point>& when) const;
    [[nodiscard]] duration random_within(duration span);
    /// Random delay of at most `span`, distributed so that only a few of many instances draw a
    /// short one.
    [[nodiscard]] duration suppression_delay(duration span);
    /// Delay before an instance with a stale configuration reads the store.
    [[nodiscard]] duration takeover_delay();

    reader_election_options options_;
    split_mix random_;
    std::map<std::string, reader> readers_;
    std::optional<time_point> last_reached_;
    store_outage outage_;
    /// Once a call of this instance has failed: when it may try again without being a reader.
    std::optional<time_point> retry_at_;
    /// While no reader is known that the store answers: how long this instance waits at most for
    /// another one's lists.
    std::optional<time_point> lists_until_;
    bool reading_ = false;
    need planned_ = need::none;
    /// The first read was already deferred once, to wait for a neighbour's reply.
    bool start_deferred_ = false;
    time_point reading_since_{};
    timer_id check_timer_ = 0;
    timer_id start_timer_ = 0;
};

/// Priority of an instance as a reader, derived from its name and so the same on all instances.
/// Lower values are preferred.
[[nodiscard]] std::uint64_t reader_rank(const std::string& name);

} // namespace catkintally::core
