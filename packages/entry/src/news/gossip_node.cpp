#include <catkintally/entry/news/gossip_node.hpp>
#include <catkintally/entry/news/limit_messages.hpp>
#include <catkintally/entry/news/message_age.hpp>
#include <catkintally/entry/news/update_messages.hpp>
#include <catkintally/runtime/log/event_log.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <memory>
#include <span>
#include <utility>

namespace catkintally::entry
{

namespace
{

using entry::to_message;
using std::chrono::milliseconds;

/// Interval between two exchanges of peer samples, which also replace lost neighbours.
constexpr auto exchange_interval = std::chrono::seconds(2);

/// Delay of the exchange that follows the one at start: time for the first links to come up.
constexpr auto first_exchange_delay = milliseconds(500);

/// Interval at which the time without a message from any neighbour is checked.
constexpr auto silence_check_interval = milliseconds(200);

/// Silence after which neighbours are sent an empty sample. One that is alive does the same, so a
/// longer silence shows that none is.
constexpr auto keep_alive_silence = milliseconds(400);

/// Silence after which others are dialed. An instance turns to the store after 1.5 s without a
/// word.
constexpr auto dial_silence = std::chrono::seconds(1);

/// Instances that are dialed in each attempt, and attempts for each silence.
constexpr std::size_t silence_dial_count = 3;
constexpr std::size_t max_silence_dials = 4;

/// Maximum number of addresses in one peer sample.
constexpr std::size_t sample_size = 16;

/// Time after which an unanswered pull may be repeated at another neighbour.
constexpr auto pull_timeout = milliseconds(200);

/// Reader statuses of this age or older are not sent to a newly linked instance: it would not
/// consider its objects fresh on account of them.
constexpr auto max_forwarded_age = milliseconds(1500);

/// The last status of a reader is discarded after this time without a newer one.
constexpr auto reader_status_retention = std::chrono::seconds(30);

/// Interval at which a changed size estimate is broadcast.
constexpr auto size_estimate_interval = std::chrono::seconds(1);

/// Fleet size assumed until there is an estimate: the largest that users plan, because the
/// instance's share of fleet-wide limits follows from it.
constexpr core::fleet_size assumed_fleet_size = {.near = 250, .far = 2'250};

/// Maximum number of limits or demand reports in one message, about 64 KB.
constexpr std::size_t max_notice_entries = 512;

/// Calls `send` for consecutive parts of the entries, each small enough for one message.
template <typename Entry>
void send_in_parts(
    const std::vector<Entry>& entries, const std::function<void(const wire::payloadUnion&)>& send)
{
    for (std::span<const Entry> rest(entries); !rest.empty();)
    {
        const auto part = rest.first(std::min(rest.size(), max_notice_entries));
        send(to_message(part));
        rest = rest.subspan(part.size());
    }
}

} // namespace

gossip_node::gossip_node(gossip_node_options options)
    : options_(std::move(options))
    , peers_(
          options_.self.peer_address, options_.self.failure_domain, options_.seeds, options_.seed)
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
    , size_estimator_(
          {.timers = options_.timers,
           .seed = options_.seed + 1,
           .may_be_only_instance = std::all_of(
               options_.seeds.begin(),
               options_.seeds.end(),
               [this](const std::string& seed) { return seed == options_.self.peer_address; })})
{
    assert(options_.offer && options_.whole && options_.states && options_.on_reader_state);
    assert(options_.on_target_crash && options_.on_suspicion_cleared && options_.suspected_crashes);
}

gossip_node::~gossip_node()
{
    options_.timers->cancel(exchange_timer_);
    options_.timers->cancel(silence_timer_);
    options_.timers->cancel(size_estimate_timer_);
}

bool gossip_node::start()
{
    if (!network_.start())
    {
        return false;
    }
    exchange_peers();
    exchange_size_estimates();
    last_received_ = options_.timers->now();
    check_silence();
    return true;
}

std::size_t gossip_node::instances() const
{
    const auto estimated = size_estimator_.size().value_or(core::fleet_size{});
    return std::max(peers_.instances(), estimated.near + estimated.far);
}

core::fleet_size gossip_node::fleet() const
{
    return size_estimator_.size().value_or(assumed_fleet_size);
}

wire::payloadUnion gossip_node::size_estimate_message() const
{
    const core::size_estimate_report report = size_estimator_.report();
    wire::census_data data;
    data.epoch = report.epoch;
    data.all.assign(report.all.begin(), report.all.end());
    data.near.assign(report.near.begin(), report.near.end());
    data.all_found.assign(report.all_found.begin(), report.all_found.end());
    data.near_found.assign(report.near_found.begin(), report.near_found.end());
    return wire::make_message(std::move(data));
}

void gossip_node::exchange_size_estimates()
{
    // Sent only after a change, so that one estimate costs a few messages per link.
    const bool begun = size_estimator_.advance();
    if (std::exchange(size_estimate_changed_, false) || begun)
    {
        network_.send_to_all(size_estimate_message(), {});
    }
    size_estimate_timer_ = options_.timers->schedule_after(
        size_estimate_interval, [this] { exchange_size_estimates(); });
}

void gossip_node::handle_size_estimate(const core::member& from, const wire::census_data& message)
{
    core::size_estimate_report report;
    const bool sizes_match = message.all.size() == report.all.size() &&
                             message.near.size() == report.near.size() &&
                             message.all_found.size() == report.all_found.size() &&
                             message.near_found.size() == report.near_found.size();
    if (!sizes_match)
    {
        runtime::log_event(
            runtime::event_id::peer_frame_malformed,
            {{"peer", core::to_text(from.id)},
             {"error", "census message with unexpected vector lengths"}});
        return;
    }
    report.epoch = message.epoch;
    std::copy(message.all.begin(), message.all.end(), report.all.begin());
    std::copy(message.near.begin(), message.near.end(), report.near.begin());
    std::copy(message.all_found.begin(), message.all_found.end(), report.all_found.begin());
    std::copy(message.near_found.begin(), message.near_found.end(), report.near_found.begin());
    switch (size_estimator_.merge(report, from.failure_domain == options_.self.failure_domain))
    {
    case core::size_estimate_change::epoch:
        // A new epoch is forwarded immediately, so that all instances estimate over the same
        // period.
        network_.send_to_all(size_estimate_message(), from.id);
        size_estimate_changed_ = true;
        break;
    case core::size_estimate_change::minima:
        size_estimate_changed_ = true;
        break;
    case core::size_estimate_change::nothing:
        break;
    }
}

void gossip_node::exchange_peers()
{
    const auto now = options_.timers->now();
    peers_.remove_expired(now);

    // Linked neighbours are kept; those without a link are replaced.
    const auto linked = network_.linked_addresses();
    std::erase_if(
        neighbours_, [&](const std::string& address)
        { return std::find(linked.begin(), linked.end(), address) == linked.end(); });
    neighbours_ = peers_.choose_neighbours(neighbours_);
    dial_neighbours();

    wire::peer_sample_data sample;
    for (const live_peer& each : peers_.sample(sample_size))
    {
        auto peer = std::make_unique<wire::live_peer_data>();
        peer->address = each.address;
        peer->failure_domain = each.failure_domain;
        peer->age_ms = to_milliseconds(now - each.alive_at);
        sample.peers.push_back(std::move(peer));
    }
    network_.send_to_all(wire::make_message(std::move(sample)), {});
    for (auto* statuses : {&reader_statuses_, &pending_reader_statuses_})
    {
        std::erase_if(
            *statuses, [now](const auto& each)
            { return now - each.second.received_at > reader_status_retention; });
    }

    const bool first = exchange_timer_ == 0;
    exchange_timer_ = options_.timers->schedule_after(
        first ? core::duration(first_exchange_delay) : core::duration(exchange_interval),
        [this] { exchange_peers(); });
}

void gossip_node::dial_neighbours()
{
    core::view dialed;
    for (const std::string& address : neighbours_)
    {
        core::member neighbour;
        neighbour.peer_address = address;
        dialed.members.push_back(std::move(neighbour));
    }
    network_.set_members(dialed);
}

void gossip_node::check_silence()
{
    silence_timer_ =
        options_.timers->schedule_after(silence_check_interval, [this] { check_silence(); });
    const auto silence = options_.timers->now() - last_received_;
    if (silence >= keep_alive_silence)
    {
        network_.send_to_all(wire::make_message(wire::peer_sample_data()), {});
    }
    if (silence >= dial_silence && silence_dials_ < max_silence_dials)
    {
        ++silence_dials_;
        dial_others();
    }
}

void gossip_node::dial_others()
{
    auto known = network_.linked_addresses();
    known.insert(known.end(), neighbours_.begin(), neighbours_.end());
    const auto others = peers_.choose_others(silence_dial_count, known);
    if (others.empty())
    {
        return;
    }
    runtime::log_event(
        runtime::event_id::neighbours_silent, {{"neighbours", std::to_string(neighbours_.size())},
                                               {"dialed", std::to_string(others.size())}});
    // First, so that the next exchange keeps them rather than the silent ones.
    neighbours_.insert(neighbours_.begin(), others.begin(), others.end());
    dial_neighbours();
}

void gossip_node::broadcast_update(const object_update& update)
{
    if (!update.whole)
    {
        network_.send_to_all(to_message(update), {});
        return;
    }
    // Instances that lack these objects respond with a pull of the whole prefix.
    network_.send_to_all(known_state_message(), {});
}

wire::reader_word_data gossip_node::make_reader_status(wire::reader_state state)
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
        known->era = state.era;
        known->content = state.content;
        data.known.push_back(std::move(known));
    }
    return data;
}

void gossip_node::broadcast_reader_state(wire::reader_state state)
{
    wire::reader_word_data status = make_reader_status(state);
    reader_statuses_[status.reader] = {.message = status, .received_at = options_.timers->now()};
    network_.send_to_all(wire::make_message(std::move(status)), {});
}

void gossip_node::broadcast_limit(const core::target_limit& limit)
{
    network_.send_to_all(to_message(std::span(&limit, 1)), {});
}

void gossip_node::broadcast_demand(const std::vector<core::demand_report>& reports)
{
    send_in_parts(
        reports, [this](const wire::payloadUnion& message) { network_.send_to_all(message, {}); });
}

void gossip_node::handle_limit_notice(
    const core::member& from, const wire::limit_notice_data& message)
{
    if (!options_.on_target_limit)
    {
        return;
    }
    std::vector<core::target_limit> forwarded;
    for (const auto& each : message.limits)
    {
        core::target_limit limit = to_limit(*each);
        const bool valid =
            !limit.per_second || (std::isfinite(*limit.per_second) && *limit.per_second >= 0);
        if (!valid)
        {
            runtime::log_event(
                runtime::event_id::peer_frame_malformed,
                {{"peer", core::to_text(from.id)},
                 {"error", "rate limit that is not a finite number of requests"}});
            continue;
        }
        if (options_.on_target_limit(limit))
        {
            forwarded.push_back(std::move(limit));
        }
    }
    send_in_parts(
        forwarded,
        [&](const wire::payloadUnion& forward) { network_.send_to_all(forward, from.id); });
}

void gossip_node::handle_demand_notice(const wire::demand_notice_data& message)
{
    if (!options_.on_demand)
    {
        return;
    }
    std::vector<core::demand_report> reports;
    reports.reserve(message.reports.size());
    for (const wire::demand_report& each : message.reports)
    {
        if (std::isfinite(each.per_second()))
        {
            reports.push_back(
                {.instance = each.instance(),
                 .incarnation = each.incarnation(),
                 .service = each.service(),
                 .failure_domain = each.failure_domain(),
                 .sequence = each.sequence(),
                 .per_second = each.per_second(),
                 .age = milliseconds(each.age_ms())});
        }
    }
    options_.on_demand(reports);
}

void gossip_node::send_limits(const core::member_id& peer)
{
    const auto send = [&](const wire::payloadUnion& message) { network_.send(peer, message); };
    if (options_.target_limits)
    {
        send_in_parts(options_.target_limits(), send);
    }
    if (options_.demand_reports)
    {
        send_in_parts(options_.demand_reports(), send);
    }
}

wire::payloadUnion gossip_node::known_state_message()
{
    // A status without a reader name: it lists the known versions and says nothing about the store.
    wire::reader_word_data data = make_reader_status(wire::reader_state::failed);
    data.reader.clear();
    return wire::make_message(std::move(data));
}

void gossip_node::on_linked(const core::member_id& peer)
{
    // First, so that an instance that starts knows them before it has a table.
    send_limits(peer);
    send_crashes(peer);
    if (options_.on_linked)
    {
        options_.on_linked(peer);
    }
    network_.send(peer, known_state_message());
    network_.send(peer, size_estimate_message());
    // With the recent reader statuses a starting instance can consider its objects fresh without
    // waiting up to a second for the next status, and knows which instances already call the
    // store.
    const auto now = options_.timers->now();
    for (const auto& [reader, received] : reader_statuses_)
    {
        wire::reader_word_data forwarded = received.message;
        forwarded.age_ms += to_milliseconds(now - received.received_at);
        if (forwarded.age_ms < max_forwarded_age.count())
        {
            network_.send(peer, wire::make_message(std::move(forwarded)));
        }
    }
}

void gossip_node::receive(const core::member& from, const wire::payloadUnion& message)
{
    last_received_ = options_.timers->now();
    silence_dials_ = 0;
    peers_.record_alive(
        {.address = from.peer_address,
         .failure_domain = from.failure_domain,
         .alive_at = last_received_});
    switch (message.type)
    {
    case wire::payload::news_update:
        handle_update(from, *message.Asnews_update());
        break;
    case wire::payload::news_pull:
        handle_pull(from, *message.Asnews_pull());
        break;
    case wire::payload::reader_word:
        handle_reader_status(from, *message.Asreader_word());
        break;
    case wire::payload::crash_notice:
        handle_crash_notice(from, *message.Ascrash_notice());
        break;
    case wire::payload::crash_record:
        handle_crash_record(from, *message.Ascrash_record());
        break;
    case wire::payload::census:
        handle_size_estimate(from, *message.Ascensus());
        break;
    case wire::payload::limit_notice:
        handle_limit_notice(from, *message.Aslimit_notice());
        break;
    case wire::payload::demand_notice:
        handle_demand_notice(*message.Asdemand_notice());
        break;
    case wire::payload::peer_sample:
        handle_peer_sample(*message.Aspeer_sample());
        break;
    default:
        // Instances in another admission mode send further messages.
        if (options_.on_other)
        {
            options_.on_other(from, message);
        }
        break;
    }
}

void gossip_node::handle_update(const core::member& from, const wire::news_update_data& message)
{
    const object_update update = to_update(message);
    if (!is_well_formed(update))
    {
        runtime::log_event(
            runtime::event_id::peer_frame_malformed,
            {{"peer", core::to_text(from.id)},
             {"error", "update without a version or with objects of another kind"}});
        return;
    }
    if (update.whole)
    {
        // This answers a pull, so the next gap may be pulled immediately.
        last_pulls_.erase(update.prefix);
    }
    switch (options_.offer(update))
    {
    case update_result::applied:
    {
        // What this instance knows beyond a whole update is news for its sender, too.
        const bool knows_more =
            update.whole && options_.states().at(update.prefix).digest != update.digest;
        network_.send_to_all(
            update.whole ? known_state_message() : to_message(update),
            knows_more ? core::member_id{} : from.id);
        accept_pending_reader_statuses(from.id);
        break;
    }
    case update_result::gap:
        pull(from.id, update.prefix);
        break;
    case update_result::not_newer:
        break;
    }
}

void gossip_node::pull(const core::member_id& from, const std::string& prefix)
{
    const auto now = options_.timers->now();
    const auto last = last_pulls_.find(prefix);
    if (last != last_pulls_.end() && now - last->second < pull_timeout)
    {
        return;
    }
    last_pulls_[prefix] = now;
    runtime::log_event(
        runtime::event_id::news_gap, {{"kind", prefix}, {"asked", core::to_text(from)}});
    wire::news_pull_data data;
    data.prefix = prefix;
    network_.send(from, wire::make_message(std::move(data)));
}

bool gossip_node::awaits_update() const
{
    const auto now = options_.timers->now();
    return std::any_of(
        last_pulls_.begin(), last_pulls_.end(),
        [now](const auto& each) { return now - each.second < 2 * pull_timeout; });
}

void gossip_node::handle_pull(const core::member& from, const wire::news_pull_data& message)
{
    const auto states = options_.states();
    const auto found = states.find(message.prefix);
    if (found == states.end())
    {
        return;
    }
    encoded_snapshot& encoded = snapshots_[message.prefix];
    const object_state& state = found->second;
    if (encoded.frame.empty() || encoded.state != state)
    {
        const auto known = options_.whole(message.prefix);
        const auto frame = known ? wire::encode_frame(to_message(*known))
                                 : boost::leaf::result<std::string>(std::string());
        if (!frame)
        {
            // The objects exceed the message size limit; the requesting instance reads the store.
            runtime::log_event(
                runtime::event_id::news_too_large,
                {{"kind", message.prefix}, {"asked_by", core::to_text(from.id)}});
            return;
        }
        encoded = {.state = state, .frame = *frame};
    }
    network_.send_frame(from.id, encoded.frame);
}

bool gossip_node::is_up_to_date(
    const std::map<std::string, object_state>& own, const wire::news_state_data& known)
{
    const auto found = own.find(known.prefix);
    return found != own.end() && found->second.covers(
                                     {.version = known.version,
                                      .digest = known.digest,
                                      .era = known.era,
                                      .content = known.content});
}

bool gossip_node::pull_missing(
    const core::member_id& from, const std::vector<std::unique_ptr<wire::news_state_data>>& known)
{
    const auto own = options_.states();
    bool complete = true;
    for (const auto& each : known)
    {
        if (!is_up_to_date(own, *each))
        {
            complete = false;
            pull(from, each->prefix);
        }
    }
    return complete;
}

void gossip_node::handle_reader_status(
    const core::member& from, const wire::reader_word_data& message)
{
    const bool complete = pull_missing(from.id, message.known);
    const std::string& name = message.reader;
    if (name.empty() || name == core::to_text(options_.self.id))
    {
        return;
    }
    const received_reader_status received{
        .message = message, .received_at = options_.timers->now()};
    if (complete)
    {
        accept_reader_status(from.id, received);
        return;
    }
    const auto pending = pending_reader_statuses_.find(name);
    if (pending == pending_reader_statuses_.end() ||
        pending->second.message.sequence < message.sequence)
    {
        pending_reader_statuses_.insert_or_assign(name, received);
    }
}

void gossip_node::accept_reader_status(
    const core::member_id& from, const received_reader_status& received)
{
    // Each status is accepted and forwarded once, and only by instances that have all updates its
    // reader had.
    const std::string& name = received.message.reader;
    const auto known = reader_statuses_.find(name);
    if (known != reader_statuses_.end() &&
        known->second.message.sequence >= received.message.sequence)
    {
        return;
    }
    reader_statuses_.insert_or_assign(name, received);
    wire::reader_word_data forwarded = received.message;
    forwarded.age_ms += to_milliseconds(options_.timers->now() - received.received_at);
    const auto age = milliseconds(forwarded.age_ms);
    network_.send_to_all(wire::make_message(std::move(forwarded)), from);
    options_.on_reader_state(name, received.message.state, age);
}

void gossip_node::accept_pending_reader_statuses(const core::member_id& from)
{
    const auto own = options_.states();
    std::vector<received_reader_status> ready;
    std::erase_if(
        pending_reader_statuses_,
        [&](const auto& each)
        {
            const auto& known = each.second.message.known;
            const bool complete = std::all_of(
                known.begin(), known.end(),
                [&](const auto& state) { return is_up_to_date(own, *state); });
            if (complete)
            {
                ready.push_back(each.second);
            }
            return complete;
        });
    for (const received_reader_status& each : ready)
    {
        accept_reader_status(from, each);
    }
}

void gossip_node::handle_peer_sample(const wire::peer_sample_data& message)
{
    const auto now = options_.timers->now();
    for (const auto& peer : message.peers)
    {
        peers_.record_alive(
            {.address = peer->address,
             .failure_domain = peer->failure_domain,
             .alive_at = now - milliseconds(peer->age_ms)});
    }
}

} // namespace catkintally::entry
