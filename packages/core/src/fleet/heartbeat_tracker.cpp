#include <catkintally/core/fleet/heartbeat_tracker.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// Sent rounds that can still be echoed: 64 rounds of 100 ms exceed every time that echoes count.
constexpr std::size_t remembered_rounds = 64;

} // namespace

std::uint64_t heartbeat_tracker::begin_round(time_point now)
{
    sent_.push_back({.sequence = next_sequence_, .at = now});
    if (sent_.size() > remembered_rounds)
    {
        sent_.pop_front();
    }
    return next_sequence_++;
}

std::uint64_t heartbeat_tracker::echo_for(const member_id& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.last_sequence;
}

void heartbeat_tracker::received(
    const member_id& peer, const wire::heartbeat_data& beat, time_point now)
{
    peer_entry& entry = peers_[peer];
    entry.heard = now;
    entry.last_sequence = std::max(entry.last_sequence, beat.sequence);
    entry.store_reachable = beat.store_reachable;
    const auto sent = std::find_if(
        sent_.begin(), sent_.end(),
        [&](const sent_round& round) { return round.sequence == beat.echo_sequence; });
    if (sent == sent_.end())
    {
        return;
    }
    entry.echo_any = std::max(entry.echo_any.value_or(sent->at), sent->at);
    if (beat.epoch != entry.echo_epoch)
    {
        entry.echo_epoch = beat.epoch;
        entry.echo_in_epoch.reset();
    }
    entry.echo_in_epoch = std::max(entry.echo_in_epoch.value_or(sent->at), sent->at);
}

std::optional<time_point>
heartbeat_tracker::echoed_in_epoch(const member_id& peer, std::uint64_t epoch) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() || found->second.echo_epoch != epoch ? std::nullopt
                                                                      : found->second.echo_in_epoch;
}

std::optional<time_point> heartbeat_tracker::echoed(const member_id& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? std::nullopt : found->second.echo_any;
}

std::optional<time_point> heartbeat_tracker::last_heard(const member_id& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? std::nullopt : std::optional(found->second.heard);
}

bool heartbeat_tracker::reaches_store(const member_id& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() || found->second.store_reachable;
}

void heartbeat_tracker::grant_grace(const member_id& peer, time_point now)
{
    peer_entry& entry = peers_[peer];
    entry.heard = std::max(entry.heard, now);
}

void heartbeat_tracker::forget(const member_id& peer)
{
    peers_.erase(peer);
}

} // namespace catkintally::core
