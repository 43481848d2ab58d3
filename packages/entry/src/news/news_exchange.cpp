#include <catkintally/entry/news/news_exchange.hpp>
#include <catkintally/runtime/log/event_log.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <algorithm>
#include <cassert>
#include <memory>
#include <utility>

namespace catkintally::entry
{

namespace
{

using std::chrono::milliseconds;

/// Pause between two looks at the neighbours.
constexpr auto exchange_interval = std::chrono::seconds(2);

/// Until the first exchange: time for the first links to come up.
constexpr auto first_exchange = milliseconds(500);

/// Addresses in one sample.
constexpr std::size_t sample_size = 16;

/// An answer to a pull is awaited this long before another neighbour is asked.
constexpr auto pull_patience = milliseconds(200);

/// Older words are not told to an instance that starts: it would not take them for news.
constexpr auto longest_told_age = milliseconds(1500);

/// Words of readers that were silent for this long are forgotten.
constexpr auto reader_memory = std::chrono::seconds(30);

/// Pause between two reports on the census.
constexpr auto census_interval = std::chrono::seconds(1);

/// Size assumed until the fleet has been counted: the largest that the users plan, because shares
/// of what the whole fleet may do follow from it.
constexpr core::fleet_size unsure_size = {.near = 250, .far = 2'250};

std::uint32_t milliseconds_of(core::duration time)
{
    const auto whole = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::max<milliseconds::rep>(whole, 0));
}

wire::payloadUnion message_of(const object_update& update)
{
    wire::news_update_data data;
    data.prefix = update.prefix;
    data.digest = update.digest;
    data.version = update.version;
    data.whole = update.whole;
    for (const core::store_object& object : update.objects)
    {
        auto copy = std::make_unique<wire::news_object_data>();
        copy->key = object.key;
        copy->version = object.version;
        copy->value = object.value;
        copy->status = object.status;
        copy->deleted = object.deleted;
        data.objects.push_back(std::move(copy));
    }
    return wire::make_message(std::move(data));
}

object_update update_of(const wire::news_update_data& data)
{
    object_update update;
    update.prefix = data.prefix;
    update.digest = data.digest;
    update.version = data.version;
    update.whole = data.whole;
    for (const auto& object : data.objects)
    {
        update.objects.push_back(
            {.key = object->key,
             .version = object->version,
             .value = object->value,
             .deleted = object->deleted,
             .status = object->status});
    }
    return update;
}

} // namespace

news_exchange::news_exchange(news_exchange_options options)
    : options_(std::move(options))
    , book_(options_.self.peer_address, options_.self.failure_domain, options_.seeds, options_.seed)
    , network_(
          {.loop = options_.loop,
           .timers = options_.timers,
           .self = options_.self,
           .listen_address = options_.listen_address,
           .key = options_.key,
           .seeds = {},
           .seed = options_.seed,
           .receive = [this](const core::member& from, const wire::payloadUnion& message)
           { receive(from, message); },
           .linked = [this](const core::member_id& peer) { on_linked(peer); }})
    , census_(
          {.timers = options_.timers,
           .seed = options_.seed + 1,
           .may_be_only_instance = std::all_of(
               options_.seeds.begin(),
               options_.seeds.end(),
               [this](const std::string& seed) { return seed == options_.self.peer_address; })})
{
    assert(options_.offer && options_.whole && options_.states && options_.on_reader_state);
    assert(options_.heard_crash && options_.heard_cleared && options_.suspected_crashes);
}

news_exchange::~news_exchange()
{
    options_.timers->cancel(exchange_timer_);
    options_.timers->cancel(census_timer_);
}

bool news_exchange::start()
{
    if (!network_.start())
    {
        return false;
    }
    exchange_peers();
    exchange_census();
    return true;
}

std::size_t news_exchange::instances() const
{
    const auto counted = census_.size().value_or(core::fleet_size{});
    return std::max(book_.instances(), counted.near + counted.far);
}

core::fleet_size news_exchange::fleet() const
{
    return census_.size().value_or(unsure_size);
}

wire::payloadUnion news_exchange::census_message() const
{
    const core::size_estimate_report report = census_.report();
    wire::census_data data;
    data.epoch = report.epoch;
    data.all.assign(report.all.begin(), report.all.end());
    data.near.assign(report.near.begin(), report.near.end());
    data.all_found.assign(report.all_found.begin(), report.all_found.end());
    data.near_found.assign(report.near_found.begin(), report.near_found.end());
    return wire::make_message(std::move(data));
}

void news_exchange::exchange_census()
{
    // Told only after a change, so that a census costs a few messages on each link.
    const bool begun = census_.advance();
    if (std::exchange(census_changed_, false) || begun)
    {
        network_.send_to_all(census_message(), {});
    }
    census_timer_ = options_.timers->schedule_after(census_interval, [this] { exchange_census(); });
}

void news_exchange::on_census(const core::member& from, const wire::census_data& message)
{
    core::size_estimate_report report;
    const bool fits = message.all.size() == report.all.size() &&
                      message.near.size() == report.near.size() &&
                      message.all_found.size() == report.all_found.size() &&
                      message.near_found.size() == report.near_found.size();
    if (!fits)
    {
        runtime::log_event(
            runtime::event_id::peer_frame_malformed,
            {{"peer", core::to_text(from.id)}, {"error", "census of another size"}});
        return;
    }
    report.epoch = message.epoch;
    std::copy(message.all.begin(), message.all.end(), report.all.begin());
    std::copy(message.near.begin(), message.near.end(), report.near.begin());
    std::copy(message.all_found.begin(), message.all_found.end(), report.all_found.begin());
    std::copy(message.near_found.begin(), message.near_found.end(), report.near_found.begin());
    switch (census_.merge(report, from.failure_domain == options_.self.failure_domain))
    {
    case core::size_estimate_change::epoch:
        // A new census reaches everyone at once, so that all count the same time.
        network_.send_to_all(census_message(), from.id);
        census_changed_ = true;
        break;
    case core::size_estimate_change::minima:
        census_changed_ = true;
        break;
    case core::size_estimate_change::nothing:
        break;
    }
}

void news_exchange::exchange_peers()
{
    const auto now = options_.timers->now();
    book_.forget_old(now);

    // Linked neighbours are kept; others take the places of those that are gone.
    const auto linked = network_.linked_addresses();
    std::erase_if(
        neighbours_, [&](const std::string& address)
        { return std::find(linked.begin(), linked.end(), address) == linked.end(); });
    neighbours_ = book_.choose(neighbours_);
    core::view dialed;
    for (const std::string& address : neighbours_)
    {
        core::member neighbour;
        neighbour.peer_address = address;
        dialed.members.push_back(std::move(neighbour));
    }
    network_.set_members(dialed);

    wire::peer_sample_data sample;
    for (const live_peer& each : book_.sample(sample_size))
    {
        auto peer = std::make_unique<wire::live_peer_data>();
        peer->address = each.address;
        peer->failure_domain = each.failure_domain;
        peer->age_ms = milliseconds_of(now - each.alive_at);
        sample.peers.push_back(std::move(peer));
    }
    network_.send_to_all(wire::make_message(std::move(sample)), {});
    for (auto* words : {&readers_, &awaited_})
    {
        std::erase_if(
            *words, [now](const auto& each) { return now - each.second.at > reader_memory; });
    }

    const bool first = exchange_timer_ == 0;
    exchange_timer_ = options_.timers->schedule_after(
        first ? core::duration(first_exchange) : core::duration(exchange_interval),
        [this] { exchange_peers(); });
}

void news_exchange::tell_update(const object_update& update)
{
    if (!update.whole)
    {
        network_.send_to_all(message_of(update), {});
        return;
    }
    // Whoever knows nothing yet asks for everything.
    network_.send_to_all(greeting(), {});
}

wire::reader_word_data news_exchange::word(wire::reader_state state)
{
    wire::reader_word_data data;
    data.reader = core::to_text(options_.self.id);
    data.sequence = ++sequence_;
    data.state = state;
    for (const auto& [prefix, state] : options_.states())
    {
        auto known = std::make_unique<wire::news_state_data>();
        known->prefix = prefix;
        known->version = state.version;
        known->digest = state.digest;
        data.known.push_back(std::move(known));
    }
    return data;
}

void news_exchange::tell_reader_state(wire::reader_state state)
{
    wire::reader_word_data told = word(state);
    readers_[told.reader] = {.word = told, .at = options_.timers->now()};
    network_.send_to_all(wire::make_message(std::move(told)), {});
}

wire::payloadUnion news_exchange::notice_of(const core::target_crash& crash) const
{
    const auto now = options_.timers->now();
    wire::crash_notice_data data;
    data.fingerprint = crash.fingerprint;
    data.target = crash.target;
    data.sent_ago_ms = milliseconds_of(now - crash.sent_at);
    data.crashed_ago_ms = milliseconds_of(now - crash.crashed_at);
    return wire::make_message(std::move(data));
}

void news_exchange::tell_crash(const core::target_crash& crash)
{
    network_.send_to_all(notice_of(crash), {});
}

void news_exchange::tell_cleared(std::uint64_t fingerprint)
{
    wire::crash_notice_data data;
    data.fingerprint = fingerprint;
    data.cleared = true;
    network_.send_to_all(wire::make_message(std::move(data)), {});
}

void news_exchange::on_crash(const core::member& from, const wire::crash_notice_data& message)
{
    if (message.cleared)
    {
        if (options_.heard_cleared(message.fingerprint))
        {
            network_.send_to_all(wire::make_message(wire::crash_notice_data(message)), from.id);
        }
        return;
    }
    const auto now = options_.timers->now();
    const core::target_crash crash{
        .fingerprint = message.fingerprint,
        .target = message.target,
        .sent_at = now - milliseconds(message.sent_ago_ms),
        .crashed_at = now - milliseconds(message.crashed_ago_ms)};
    if (crash.fingerprint != 0 && options_.heard_crash(crash))
    {
        network_.send_to_all(notice_of(crash), from.id);
    }
}

wire::payloadUnion news_exchange::greeting()
{
    // Says what is known here, without a claim about the store.
    wire::reader_word_data data = word(wire::reader_state::failed);
    data.reader.clear();
    return wire::make_message(std::move(data));
}

void news_exchange::on_linked(const core::member_id& peer)
{
    network_.send(peer, greeting());
    network_.send(peer, census_message());
    // An instance that starts needs no word of the next second to trust the news, and learns which
    // instances ask the store already.
    const auto now = options_.timers->now();
    for (const auto& [reader, heard] : readers_)
    {
        wire::reader_word_data told = heard.word;
        told.age_ms += milliseconds_of(now - heard.at);
        if (told.age_ms < longest_told_age.count())
        {
            network_.send(peer, wire::make_message(std::move(told)));
        }
    }
    for (const core::target_crash& crash : options_.suspected_crashes())
    {
        network_.send(peer, notice_of(crash));
    }
}

void news_exchange::receive(const core::member& from, const wire::payloadUnion& message)
{
    book_.note_alive(
        {.address = from.peer_address,
         .failure_domain = from.failure_domain,
         .alive_at = options_.timers->now()});
    switch (message.type)
    {
    case wire::payload::news_update:
        on_update(from, *message.Asnews_update());
        break;
    case wire::payload::news_pull:
        on_pull(from, *message.Asnews_pull());
        break;
    case wire::payload::reader_word:
        on_word(from, *message.Asreader_word());
        break;
    case wire::payload::crash_notice:
        on_crash(from, *message.Ascrash_notice());
        break;
    case wire::payload::census:
        on_census(from, *message.Ascensus());
        break;
    case wire::payload::peer_sample:
        on_sample(*message.Aspeer_sample());
        break;
    default:
        // Instances of another admission mode speak of other things.
        break;
    }
}

void news_exchange::on_update(const core::member& from, const wire::news_update_data& message)
{
    const object_update update = update_of(message);
    if (update.whole)
    {
        // The answer to a pull; the next gap may be asked about at once.
        pulled_.erase(update.prefix);
    }
    switch (options_.offer(update))
    {
    case update_result::applied:
        network_.send_to_all(update.whole ? greeting() : message_of(update), from.id);
        take_awaited_words(from.id);
        break;
    case update_result::gap:
        pull(from.id, update.prefix);
        break;
    case update_result::not_newer:
        break;
    }
}

void news_exchange::pull(const core::member_id& from, const std::string& prefix)
{
    const auto now = options_.timers->now();
    const auto last = pulled_.find(prefix);
    if (last != pulled_.end() && now - last->second < pull_patience)
    {
        return;
    }
    pulled_[prefix] = now;
    runtime::log_event(
        runtime::event_id::news_gap, {{"kind", prefix}, {"asked", core::to_text(from)}});
    wire::news_pull_data data;
    data.prefix = prefix;
    network_.send(from, wire::make_message(std::move(data)));
}

bool news_exchange::awaits_update() const
{
    const auto now = options_.timers->now();
    return std::any_of(
        pulled_.begin(), pulled_.end(),
        [now](const auto& each) { return now - each.second < 2 * pull_patience; });
}

void news_exchange::on_pull(const core::member& from, const wire::news_pull_data& message)
{
    const auto states = options_.states();
    const auto found = states.find(message.prefix);
    if (found == states.end())
    {
        return;
    }
    encoded_whole& encoded = wholes_[message.prefix];
    const object_state& state = found->second;
    if (encoded.frame.empty() || encoded.state.digest != state.digest ||
        encoded.state.version != state.version)
    {
        const auto known = options_.whole(message.prefix);
        const auto frame = known ? wire::encode_frame(message_of(*known))
                                 : boost::leaf::result<std::string>(std::string());
        if (!frame)
        {
            // More objects than one message takes; the asker turns to the store.
            runtime::log_event(
                runtime::event_id::news_too_large,
                {{"kind", message.prefix}, {"asked_by", core::to_text(from.id)}});
            return;
        }
        encoded = {.state = state, .frame = *frame};
    }
    network_.send_frame(from.id, encoded.frame);
}

bool news_exchange::covers(
    const std::map<std::string, object_state>& own, const wire::news_state_data& known)
{
    const auto found = own.find(known.prefix);
    return found != own.end() &&
           (found->second.digest == known.digest || found->second.version > known.version);
}

bool news_exchange::pull_missing(
    const core::member_id& from, const std::vector<std::unique_ptr<wire::news_state_data>>& known)
{
    const auto own = options_.states();
    bool complete = true;
    for (const auto& each : known)
    {
        if (!covers(own, *each))
        {
            complete = false;
            pull(from, each->prefix);
        }
    }
    return complete;
}

void news_exchange::on_word(const core::member& from, const wire::reader_word_data& message)
{
    const bool complete = pull_missing(from.id, message.known);
    const std::string& name = message.reader;
    if (name.empty() || name == core::to_text(options_.self.id))
    {
        return;
    }
    const heard_word heard{.word = message, .at = options_.timers->now()};
    if (complete)
    {
        take_word(from.id, heard);
        return;
    }
    const auto awaited = awaited_.find(name);
    if (awaited == awaited_.end() || awaited->second.word.sequence < message.sequence)
    {
        awaited_.insert_or_assign(name, heard);
    }
}

void news_exchange::take_word(const core::member_id& from, const heard_word& heard)
{
    // A word is taken and passed on once, by instances that know what its reader knows.
    const std::string& name = heard.word.reader;
    const auto known = readers_.find(name);
    if (known != readers_.end() && known->second.word.sequence >= heard.word.sequence)
    {
        return;
    }
    readers_.insert_or_assign(name, heard);
    wire::reader_word_data told = heard.word;
    told.age_ms += milliseconds_of(options_.timers->now() - heard.at);
    const auto age = milliseconds(told.age_ms);
    network_.send_to_all(wire::make_message(std::move(told)), from);
    options_.on_reader_state(name, heard.word.state, age);
}

void news_exchange::take_awaited_words(const core::member_id& from)
{
    const auto own = options_.states();
    std::vector<heard_word> ready;
    std::erase_if(
        awaited_,
        [&](const auto& each)
        {
            const auto& known = each.second.word.known;
            const bool complete = std::all_of(
                known.begin(), known.end(), [&](const auto& state) { return covers(own, *state); });
            if (complete)
            {
                ready.push_back(each.second);
            }
            return complete;
        });
    for (const heard_word& each : ready)
    {
        take_word(from, each);
    }
}

void news_exchange::on_sample(const wire::peer_sample_data& message)
{
    const auto now = options_.timers->now();
    for (const auto& peer : message.peers)
    {
        book_.note_alive(
            {.address = peer->address,
             .failure_domain = peer->failure_domain,
             .alive_at = now - milliseconds(peer->age_ms)});
    }
}

} // namespace catkintally::entry
