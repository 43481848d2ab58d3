#pragma once

#include <catkintally/core/admission/split_mix.hpp>
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

/// Fixed inputs of a reader_election.
struct reader_election_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// Identity of this run of the instance; unique in the fleet.
    std::string self;
    std::uint64_t seed = 0;
    /// Instances that read the store while all is well. Two, so that the loss of one leaves no gap.
    std::size_t desired_readers = 2;
    /// Without a reader's word for this long, the news may be old. Readers give word every second,
    /// and two of them rarely at the same time; the rest of the two seconds in which a change must
    /// be in force is for reading the store.
    duration stale_after = std::chrono::milliseconds(1500);
    /// Instances that miss the news turn to the store at random within this span, so that the first
    /// of them can tell the others.
    duration takeover_spread = std::chrono::milliseconds(150);
    /// As `spread`, for an instance that starts. Longer, since all may start together and then need
    /// some hundred milliseconds until their links are up and a first one can tell the others.
    duration start_spread = std::chrono::milliseconds(1500);
    /// The others dial this instance when they start, so it turns to the store early.
    bool is_seed = false;
    /// Estimated number of live instances.
    std::function<std::size_t()> instances;
    /// Starts or stops reading the store.
    std::function<void(bool)> read;
    /// True while a neighbour is to answer with the news; may be empty.
    std::function<bool()> awaits_update{};
    /// News are heard of again after they were stale.
    std::function<void()> on_fresh_again{};
};

/// Decides whether this instance reads the store or lives on what other instances pass on. Every
/// instance decides alone, from what the readers say about their calls; none is special, and each
/// turns to the store by itself when it hears of no reader. While the store answers nobody, only a
/// few keep asking, because each call counts.
class reader_election
{
public:
    explicit reader_election(reader_election_options options);
    ~reader_election();
    reader_election(const reader_election&) = delete;
    reader_election& operator=(const reader_election&) = delete;

    /// Begins to decide.
    void start();

    /// A reader said how it fares. `age` is how long ago.
    void on_reader_state(const std::string& reader, reader_state state, duration age);

    /// A call of this instance was answered, or failed.
    void on_store_call(bool reached);

    /// True if this instance reads the store.
    [[nodiscard]] bool is_reading() const { return reading_; }

    /// True if the store has answered this instance or a reader that it hears of.
    [[nodiscard]] bool is_fresh() const;

    /// Since when the news are as they are now known to be; nothing before the first word.
    [[nodiscard]] std::optional<time_point> last_store_contact() const { return last_reached_; }

private:
    /// Why this instance may have to read the store.
    enum class need : std::uint8_t
    {
        none,
        /// Nobody is heard of.
        news,
        /// Some have tried in vain; the store may turn away only them.
        another_try,
        /// There are fewer readers than wanted.
        second_reader
    };
    struct reader
    {
        std::optional<time_point> reached;
        std::optional<time_point> failed;
        /// Its first call was under way.
        std::optional<time_point> asking;
    };

    void note(const std::string& name, reader_state state, time_point at);
    void evaluate();
    void plan(need wanted);
    void volunteer();
    void set_reading(bool reading);
    [[nodiscard]] std::size_t fresh_readers() const;
    [[nodiscard]] std::size_t preferred_readers(bool failing) const;
    [[nodiscard]] bool is_superfluous() const;
    [[nodiscard]] need current_need() const;
    [[nodiscard]] std::size_t failing_readers() const;
    [[nodiscard]] std::size_t asking_readers() const;
    [[nodiscard]] bool is_recent(const std::optional<time_point>& when) const;
    [[nodiscard]] duration random_within(duration span);
    /// A delay of at most `span` for which few of many instances draw an early time.
    [[nodiscard]] duration suppression_delay(duration span);

    reader_election_options options_;
    split_mix random_;
    std::map<std::string, reader> readers_;
    std::optional<time_point> last_reached_;
    bool reading_ = false;
    bool was_fresh_ = false;
    need planned_ = need::none;
    /// The first read was put off because a neighbour was to answer.
    bool put_off_ = false;
    time_point reading_since_{};
    timer_id check_timer_ = 0;
    timer_id volunteer_timer_ = 0;
};

/// Order in which instances prefer readers; the same everywhere. Lower is preferred.
[[nodiscard]] std::uint64_t reader_rank(const std::string& name);

} // namespace catkintally::core
