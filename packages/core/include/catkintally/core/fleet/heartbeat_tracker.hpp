#pragma once

#include <catkintally/core/fleet/member.hpp>
#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <deque>
#include <map>

namespace catkintally::core
{

/// Keeps when each peer was heard and which of the own heartbeats it echoed. All times are read on
/// the own monotonic clock; an echo counts from the time at which the echoed heartbeat was sent.
class heartbeat_tracker
{
public:
    /// Starts a new round of heartbeats sent at `now`; returns its sequence number.
    std::uint64_t begin_round(time_point now);

    /// Sequence number to echo to `peer`, 0 if nothing was received from it.
    [[nodiscard]] std::uint64_t echo_for(const member_id& peer) const;

    /// Records a heartbeat from `peer`.
    void received(const member_id& peer, const wire::heartbeat_data& beat, time_point now);

    /// Send time of the newest own heartbeat that `peer` echoed while in `epoch`.
    [[nodiscard]] std::optional<time_point>
    echoed_in_epoch(const member_id& peer, std::uint64_t epoch) const;

    /// Send time of the newest own heartbeat that `peer` echoed in any epoch.
    [[nodiscard]] std::optional<time_point> echoed(const member_id& peer) const;

    /// Time of the last heartbeat from `peer`.
    [[nodiscard]] std::optional<time_point> last_heard(const member_id& peer) const;

    /// True unless the peer's last heartbeat said that it cannot reach the store.
    [[nodiscard]] bool reaches_store(const member_id& peer) const;

    /// Starts the silence of `peer` at `now` if it has not been heard since.
    void grant_grace(const member_id& peer, time_point now);

    /// Drops everything known about `peer`.
    void forget(const member_id& peer);

private:
    struct sent_round
    {
        std::uint64_t sequence = 0;
        time_point at{};
    };
    struct peer_entry
    {
        time_point heard{};
        std::uint64_t last_sequence = 0;
        std::uint64_t echo_epoch = 0;
        std::optional<time_point> echo_in_epoch;
        std::optional<time_point> echo_any;
        bool store_reachable = true;
    };

    std::uint64_t next_sequence_ = 1;
    std::deque<sent_round> sent_;
    std::map<member_id, peer_entry> peers_;
};

} // namespace catkintally::core
