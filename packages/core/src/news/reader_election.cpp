#include <catkintally/core/news/reader_election.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

/// Minimum time for which an instance stays a reader, so that two that start together do not both
/// stop.
constexpr duration min_reading_time = std::chrono::seconds(1);

/// Number of failing instances that keep calling the store at short intervals, so that its recovery
/// is noticed within a second.
constexpr std::size_t persistent_readers = 4;

/// While this many instances wait for the answer to their first call, an instance that is starting
/// defers its own.
constexpr std::size_t starting_limit = 8;
constexpr duration start_deferral = milliseconds(300);

/// An instance whose first call started this long ago has received its answer or has given up.
constexpr duration asking_timeout = std::chrono::seconds(1);

/// Time that lists may take. A list of the targets of a large site takes some 20 pages. Short,
/// because the store may answer the first call of an instance and none of its lists.
constexpr duration list_timeout = milliseconds(500);

/// Time after a failed call in which an instance leaves the next call to instances that have not
/// failed. Each one calls again within the longer time, because the store may be rejecting all
/// others.
constexpr duration min_retry_delay = std::chrono::seconds(2);
constexpr duration max_retry_delay = std::chrono::seconds(3);

/// Part of the takeover's time in which instances with a fast link try the store. Some link
/// latencies, so that the first of them can inform the others.
constexpr duration fast_link_spread = milliseconds(100);

/// Upper bound of the random delay before a missing second reader is replaced.
constexpr duration max_replacement_delay = std::chrono::seconds(2);

/// Upper bound of the random delay before a starting seed reads the store. A few link latencies, so
/// that the first seed can inform the others.
constexpr duration max_seed_start_delay = milliseconds(50);

/// Readers that sent no report for this long are removed.
constexpr duration reader_expiry = std::chrono::seconds(10);

/// Minimum number of candidate readers that a starting instance assumes while it knows no others:
/// about half of the fleet size that users plan for today. The number of instances that start to
/// read depends only on its logarithm.
constexpr std::size_t assumed_candidates = 64;

} // namespace

std::uint64_t reader_rank(const std::string& name)
{
    // 64-bit FNV-1a, followed by a mixing step so that similar names get unrelated ranks.
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const unsigned char c : name)
    {
        hash = (hash ^ c) * 0x100000001b3U;
    }
    return split_mix(hash).next();
}

reader_election::reader_election(reader_election_options options)
    : options_(std::move(options))
    , random_(options_.seed)
{
    assert(options_.timers != nullptr && options_.instances && options_.on_reading_changed);
    assert(options_.announce);
}

reader_election::~reader_election()
{
    options_.timers->cancel(check_timer_);
    options_.timers->cancel(start_timer_);
}

void reader_election::start()
{
    schedule_start(need::updates);
}

duration reader_election::random_within(duration span)
{
    const auto ticks = static_cast<std::uint64_t>(std::max<duration::rep>(span.count(), 1));
    return duration(static_cast<duration::rep>(random_.next() % ticks));
}

duration reader_election::suppression_delay(duration span)
{
    // Truncated exponential delays, as for feedback suppression in reliable multicast (Nonnenmacher
    // and Biersack): most instances draw a long delay, so that the reports of the first few readers
    // reach the others before they call the store themselves.
    const std::size_t known = options_.instances();
    const std::size_t candidates = last_reached_ ? known : std::max(known, assumed_candidates);
    const double steepness =
        std::log(static_cast<double>(std::max<std::size_t>(candidates, 1))) + 1;
    const double drawn = static_cast<double>(random_.next() >> 11U) * 0x1.0p-53;
    const double part = std::log1p(drawn * std::expm1(steepness)) / steepness;
    return std::chrono::duration_cast<duration>(span * part);
}

duration reader_election::takeover_delay()
{
    const duration fast_spread = std::min(fast_link_spread, options_.takeover_spread);
    switch (options_.speed)
    {
    case link_speed::fast:
        return suppression_delay(fast_spread);
    case link_speed::slow:
        return fast_spread + suppression_delay(options_.takeover_spread - fast_spread);
    case link_speed::unknown:
        break;
    }
    return suppression_delay(options_.takeover_spread);
}

bool reader_election::is_recent(const std::optional<time_point>& when) const
{
    return when && options_.timers->now() - *when < options_.stale_after;
}

bool reader_election::is_fresh() const
{
    return is_recent(last_reached_);
}

std::size_t reader_election::fresh_readers() const
{
    return static_cast<std::size_t>(std::count_if(
        readers_.begin(), readers_.end(),
        [this](const auto& each) { return is_recent(each.second.reached); }));
}

std::size_t reader_election::better_ranked_readers(bool failing) const
{
    const auto own = reader_rank(options_.self);
    return static_cast<std::size_t>(std::count_if(
        readers_.begin(), readers_.end(),
        [&](const auto& each)
        {
            return is_recent(failing ? each.second.failed : each.second.reached) &&
                   reader_rank(each.first) < own;
        }));
}

std::size_t reader_election::failing_readers() const
{
    return static_cast<std::size_t>(std::count_if(
        readers_.begin(), readers_.end(),
        [this](const auto& each) { return is_recent(each.second.failed); }));
}

std::size_t reader_election::asking_readers() const
{
    return static_cast<std::size_t>(std::count_if(
        readers_.begin(), readers_.end(),
        [this](const auto& each)
        {
            const auto& asking = each.second.asking;
            return asking && options_.timers->now() - *asking < asking_timeout;
        }));
}

void reader_election::on_reader_state(const std::string& reader, reader_state state, duration age)
{
    record_state(reader, state, options_.timers->now() - age);
}

bool reader_election::is_listing_elsewhere() const
{
    return std::any_of(
        readers_.begin(), readers_.end(),
        [this](const auto& each)
        {
            const auto& answered = each.second.answered;
            return each.first != options_.self && answered &&
                   options_.timers->now() - *answered < list_timeout;
        });
}

bool reader_election::awaits_lists() const
{
    return lists_until_ && options_.timers->now() < *lists_until_ && is_listing_elsewhere();
}

void reader_election::on_store_probed()
{
    if (!reading_)
    {
        return;
    }
    record_state(options_.self, reader_state::answered, options_.timers->now());
    // Each announcement reaches every instance, and the others wait only without a reader.
    if (has_lost_readers())
    {
        options_.announce(reader_state::answered);
    }
}

void reader_election::on_store_call(bool reached)
{
    if (!reading_)
    {
        return;
    }
    const auto now = options_.timers->now();
    if (reached)
    {
        retry_at_.reset();
        options_.announce(reader_state::reached);
        record_state(options_.self, reader_state::reached, now);
        return;
    }
    // While all instances try the store, a failure concerns the others only if this instance has
    // been a reader or keeps calling.
    const bool was_reader = readers_[options_.self].reached.has_value();
    retry_at_ = now + min_retry_delay + random_within(max_retry_delay - min_retry_delay);
    record_state(options_.self, reader_state::failed, now);
    if (was_reader || reading_ || !has_lost_readers())
    {
        options_.announce(reader_state::failed);
    }
}

bool reader_election::has_failed_lately() const
{
    return retry_at_ && options_.timers->now() < *retry_at_;
}

bool reader_election::has_lost_readers() const
{
    return !is_fresh() || (fresh_readers() == 0 && failing_readers() > 0);
}

void reader_election::record_state(const std::string& name, reader_state state, time_point at)
{
    bool store_returned = false;
    reader& recorded = readers_[name];
    switch (state)
    {
    case reader_state::reached:
        recorded = {
            .reached = std::max(recorded.reached.value_or(at), at),
            .failed = {},
            .asking = {},
            .answered = {}};
        last_reached_ = std::max(last_reached_.value_or(at), at);
        store_returned = outage_.note_success(at);
        break;
    case reader_state::failed:
        recorded = {.reached = {}, .failed = at, .asking = {}, .answered = {}};
        if (has_lost_readers())
        {
            outage_.note_failure(at);
        }
        break;
    case reader_state::asking:
        recorded.asking = at;
        break;
    case reader_state::answered:
        recorded.answered = at;
        break;
    }
    if (store_returned && options_.on_store_returned)
    {
        options_.on_store_returned();
    }
    evaluate();
}

void reader_election::evaluate()
{
    const auto now = options_.timers->now();
    std::erase_if(
        readers_,
        [&](const auto& each)
        {
            const time_point last = std::max(
                {each.second.reached.value_or(time_point{}),
                 each.second.failed.value_or(time_point{}),
                 each.second.asking.value_or(time_point{}),
                 each.second.answered.value_or(time_point{})});
            return now - last > reader_expiry;
        });
    if (!has_lost_readers())
    {
        lists_until_.reset();
    }
    else if (!lists_until_ && is_listing_elsewhere())
    {
        lists_until_ = now + list_timeout;
    }

    if (reading_ && is_redundant())
    {
        set_reading(false);
    }
    if (!reading_)
    {
        schedule_start(current_need());
    }

    // Re-evaluate when the latest successful report becomes stale.
    options_.timers->cancel(check_timer_);
    if (is_fresh())
    {
        check_timer_ = options_.timers->schedule_after(
            *last_reached_ + options_.stale_after - now,
            [this]
            {
                check_timer_ = 0;
                evaluate();
            });
    }
    else
    {
        check_timer_ = 0;
    }
}

bool reader_election::is_redundant() const
{
    const auto own = readers_.find(options_.self);
    const bool failing = own != readers_.end() && own->second.failed.has_value();
    if (failing)
    {
        // Other readers reach the store, or enough others keep retrying.
        return !has_lost_readers() || better_ranked_readers(true) >= persistent_readers;
    }
    return options_.timers->now() - reading_since_ >= min_reading_time &&
           better_ranked_readers(false) >= options_.desired_readers;
}

reader_election::need reader_election::current_need() const
{
    if (has_lost_readers())
    {
        return awaits_lists() ? need::lists : has_failed_lately() ? need::retry : need::updates;
    }
    // Instances whose first call is pending count as readers. With several instances failing, a
    // further one would probably fail, too.
    const bool covered = fresh_readers() + asking_readers() >= options_.desired_readers ||
                         failing_readers() >= persistent_readers || has_failed_lately();
    return !covered && options_.instances() > 1 ? need::second_reader : need::none;
}

void reader_election::schedule_start(need wanted)
{
    if (planned_ == wanted)
    {
        return;
    }
    planned_ = wanted;
    options_.timers->cancel(std::exchange(start_timer_, 0));
    duration delay{};
    switch (wanted)
    {
    case need::none:
        return;
    case need::updates:
        delay = last_reached_      ? takeover_delay()
                : options_.is_seed ? random_within(max_seed_start_delay)
                                   : suppression_delay(options_.start_spread);
        break;
    case need::lists:
        start_timer_ = options_.timers->schedule_after(
            *lists_until_ - options_.timers->now(),
            [this]
            {
                start_timer_ = 0;
                evaluate();
            });
        return;
    case need::retry:
        delay = *retry_at_ - options_.timers->now();
        break;
    case need::second_reader:
        delay = milliseconds(50) + suppression_delay(max_replacement_delay);
        break;
    }
    start_timer_ = options_.timers->schedule_after(
        delay,
        [this]
        {
            start_timer_ = 0;
            start_reading_if_needed();
        });
}

void reader_election::start_reading_if_needed()
{
    planned_ = need::none;
    const bool may_defer = !last_reached_ && !start_deferred_;
    if (may_defer && options_.awaits_update && options_.awaits_update())
    {
        // A neighbour that is answering hundreds of instances may be slow. Defer only once, so that
        // a neighbour that never replies cannot block this instance from reading the store.
        start_deferred_ = true;
        schedule_start(need::updates);
        return;
    }
    if (may_defer && asking_readers() >= starting_limit)
    {
        start_deferred_ = true;
        planned_ = need::updates;
        start_timer_ = options_.timers->schedule_after(
            random_within(start_deferral),
            [this]
            {
                start_timer_ = 0;
                start_reading_if_needed();
            });
        return;
    }
    if (!reading_ && current_need() != need::none)
    {
        set_reading(true);
    }
}

void reader_election::set_reading(bool reading)
{
    reading_ = reading;
    reading_since_ = options_.timers->now();
    readers_.erase(options_.self);
    planned_ = need::none;
    options_.timers->cancel(std::exchange(start_timer_, 0));
    if (reading)
    {
        // Announced only while others still depend on it: each announcement reaches every instance.
        if (asking_readers() < starting_limit)
        {
            options_.announce(reader_state::asking);
        }
        readers_[options_.self].asking = reading_since_;
    }
    options_.on_reading_changed(reading);
}

} // namespace catkintally::core
