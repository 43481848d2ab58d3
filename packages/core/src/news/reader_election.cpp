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

/// A reader keeps its duty for this long at least, so that two that begin together do not both end.
constexpr duration shortest_duty = std::chrono::seconds(1);

/// With this many instances failing at the store, its absence is believed to be general.
constexpr std::size_t enough_failing = 4;

/// With this many instances asking or failing, no further one turns to the store at once. More than
/// `enough_failing`, because the store may turn away only some: with a third of the instances
/// turned away, that all of these are is rarer than one in 5000.
constexpr std::size_t enough_asking = 8;

/// An instance that was asking this long ago has its answer or has given up.
constexpr duration asking_time = std::chrono::seconds(1);

/// While the store is believed absent, one further instance a second looks for itself, because the
/// store may turn away only some instances.
constexpr duration exploration = std::chrono::seconds(1);

/// How soon a missing second reader is replaced.
constexpr duration replacement = std::chrono::seconds(2);

/// Seeds that start turn to the store within this span: a few times the delay of a link, so that
/// one of them can tell the others.
constexpr duration seed_start_spread = milliseconds(50);

/// Readers that said nothing for this long are forgotten.
constexpr duration memory = std::chrono::seconds(10);

/// Rivals that an instance assumes at its start, when it knows nobody: about half of the fleet for
/// which the users plan today. The number of volunteers depends on its logarithm only.
constexpr std::size_t assumed_rivals = 64;

} // namespace

std::uint64_t reader_rank(const std::string& name)
{
    // FNV-1a with 64 bits, mixed so that similar names lie far apart.
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
    assert(options_.timers != nullptr && options_.instances && options_.read);
}

reader_election::~reader_election()
{
    options_.timers->cancel(check_timer_);
    options_.timers->cancel(volunteer_timer_);
}

void reader_election::start()
{
    plan(need::news);
}

duration reader_election::random_within(duration span)
{
    const auto ticks = static_cast<std::uint64_t>(std::max<duration::rep>(span.count(), 1));
    return duration(static_cast<duration::rep>(random_.next() % ticks));
}

duration reader_election::suppression_delay(duration span)
{
    // Truncated exponential delays, as for feedback suppression in reliable multicast (Nonnenmacher
    // and Biersack): most instances draw a late time, so that the word of the first few reaches the
    // others before they turn to the store themselves.
    const std::size_t known = options_.instances();
    const std::size_t rivals = last_reached_ ? known : std::max(known, assumed_rivals);
    const double steepness = std::log(static_cast<double>(std::max<std::size_t>(rivals, 1))) + 1;
    const double drawn = static_cast<double>(random_.next() >> 11U) * 0x1.0p-53;
    const double part = std::log1p(drawn * std::expm1(steepness)) / steepness;
    return std::chrono::duration_cast<duration>(span * part);
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

std::size_t reader_election::preferred_readers(bool failing) const
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
            return asking && options_.timers->now() - *asking < asking_time;
        }));
}

void reader_election::on_reader_state(const std::string& reader, reader_state state, duration age)
{
    note(reader, state, options_.timers->now() - age);
}

void reader_election::on_store_call(bool reached)
{
    if (reading_)
    {
        note(
            options_.self, reached ? reader_state::reached : reader_state::failed,
            options_.timers->now());
    }
}

void reader_election::note(const std::string& name, reader_state state, time_point at)
{
    reader& noted = readers_[name];
    switch (state)
    {
    case reader_state::reached:
        noted = {.reached = std::max(noted.reached.value_or(at), at), .failed = {}, .asking = {}};
        last_reached_ = std::max(last_reached_.value_or(at), at);
        break;
    case reader_state::failed:
        noted = {.reached = {}, .failed = at, .asking = {}};
        break;
    case reader_state::asking:
        noted.asking = at;
        break;
    }
    if (!std::exchange(was_fresh_, is_fresh()) && was_fresh_ && options_.on_fresh_again)
    {
        options_.on_fresh_again();
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
                 each.second.asking.value_or(time_point{})});
            return now - last > memory;
        });
    was_fresh_ = is_fresh();

    if (reading_ && is_superfluous())
    {
        set_reading(false);
    }
    if (!reading_)
    {
        plan(current_need());
    }

    // Look again when the newest word becomes old.
    options_.timers->cancel(check_timer_);
    if (was_fresh_)
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

bool reader_election::is_superfluous() const
{
    const auto own = readers_.find(options_.self);
    const bool failing = own != readers_.end() && own->second.failed.has_value();
    if (failing)
    {
        // Others reach the store, or enough others try.
        return is_fresh() || preferred_readers(true) >= enough_failing;
    }
    return options_.timers->now() - reading_since_ >= shortest_duty &&
           preferred_readers(false) >= options_.desired_readers;
}

reader_election::need reader_election::current_need() const
{
    if (!is_fresh())
    {
        const std::size_t failing = failing_readers();
        return failing >= enough_failing || failing + asking_readers() >= enough_asking
                   ? need::another_try
                   : need::news;
    }
    // Instances that ask already count, and with several failing a further one would fail, too.
    const bool covered = fresh_readers() + asking_readers() >= options_.desired_readers ||
                         failing_readers() >= enough_failing;
    return !covered && options_.instances() > 1 ? need::second_reader : need::none;
}

void reader_election::plan(need wanted)
{
    if (planned_ == wanted)
    {
        return;
    }
    planned_ = wanted;
    options_.timers->cancel(std::exchange(volunteer_timer_, 0));
    duration delay{};
    switch (wanted)
    {
    case need::none:
        return;
    case need::news:
        delay = last_reached_      ? suppression_delay(options_.takeover_spread)
                : options_.is_seed ? random_within(seed_start_spread)
                                   : suppression_delay(options_.start_spread);
        break;
    case need::another_try:
        delay = random_within(
            exploration *
            (2 * static_cast<duration::rep>(std::max<std::size_t>(options_.instances(), 1))));
        break;
    case need::second_reader:
        delay = milliseconds(50) + suppression_delay(replacement);
        break;
    }
    volunteer_timer_ = options_.timers->schedule_after(
        delay,
        [this]
        {
            volunteer_timer_ = 0;
            volunteer();
        });
}

void reader_election::volunteer()
{
    planned_ = need::none;
    const bool may_put_off = !last_reached_ && !std::exchange(put_off_, true);
    if (may_put_off && options_.awaits_update && options_.awaits_update())
    {
        // A neighbour that answers hundreds of others needs a moment. Once, so that one that never
        // answers does not keep this instance from its news.
        plan(need::news);
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
    if (reading)
    {
        readers_[options_.self].asking = reading_since_;
    }
    planned_ = need::none;
    options_.timers->cancel(std::exchange(volunteer_timer_, 0));
    options_.read(reading);
}

} // namespace catkintally::core
