#pragma once

#include <catkintally/core/fleet/view.hpp>
#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/peers/peer_counters.hpp>
#include <catkintally/entry/peers/peer_link.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

struct evconnlistener;

namespace catkintally::entry
{

/// Inputs and hooks of a peer_network.
struct peer_network_options
{
    runtime::event_loop* loop = nullptr;
    core::timer_service* timers = nullptr;
    core::member self;
    /// Address to listen on, usually the peer address of `self`.
    std::string listen_address;
    /// Shared key; empty turns authentication off.
    std::string key;
    /// Addresses that are dialed even if the view does not list them.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0;
    std::function<void(const core::member& peer, const wire::payloadUnion&)> receive;
    /// A link to a peer came up.
    std::function<void(const core::member_id& peer)> linked;
};

/// TCP links to all other instances of the view and to the seeds. Each instance dials every other
/// one and also accepts links; a message takes the dialed link if it is up, else an accepted one. A
/// faulty link is closed with a numbered event and has no other effect.
class peer_network
{
public:
    explicit peer_network(peer_network_options options);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Starts to listen and to dial. False if the address is not available.
    [[nodiscard]] bool start();

    /// Sends a message; it is lost if there is no link to the member.
    void send(const core::member_id& to, const wire::payloadUnion& message);

    /// As send(), for a message that is encoded already.
    void send_frame(const core::member_id& to, const std::string& frame);

    /// Sends a message once to each member with a link, but for `except`.
    void send_to_all(const wire::payloadUnion& message, const core::member_id& except);

    /// Dials exactly the members of this view and the seeds.
    void set_members(const core::view& current);

    /// This instance got another incarnation: all links start again with a new hello.
    void set_self(const core::member& self);

    [[nodiscard]] const peer_counters& counters() const { return counters_; }

    /// Ids of the members with a link that is up.
    [[nodiscard]] std::vector<core::member_id> linked_members() const;

    /// Peer addresses of the members with a link that is up.
    [[nodiscard]] std::vector<std::string> linked_addresses() const;

private:
    using link_number = std::uint64_t;
    struct dial_state
    {
        link_number link = 0;
        core::duration back_off{};
        core::timer_id timer = 0;
        /// The address is this instance's own.
        bool own = false;
    };
    struct listener_deleter
    {
        void operator()(evconnlistener* listener) const;
    };
    struct callbacks;

    void refresh_dials();
    void dial(const std::string& address);
    [[nodiscard]] core::duration connect_time_of(const std::string& address) const;
    void dial_later(const std::string& address);
    peer_link&
    add_link(link_number number, const std::string& address, const std::string& expected_instance);
    void link_up(link_number number);
    void link_ended(
        link_number number,
        const std::string& address,
        link_end_reason reason,
        const std::string& detail);
    void remove_later(link_number number);
    [[nodiscard]] peer_link* find_link(const core::member_id& to) const;

    peer_network_options options_;
    std::mt19937_64 random_;
    peer_counters counters_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
    link_number next_link_ = 1;
    std::map<link_number, std::unique_ptr<peer_link>> links_;
    /// Links that ended inside a callback; they are destroyed from the loop.
    std::vector<std::unique_ptr<peer_link>> ended_links_;
    core::timer_id cleanup_timer_ = 0;
    /// Addresses to dial with the instance that the view lists there; empty for seeds.
    std::map<std::string, std::string> wanted_;
    std::map<std::string, dial_state> dials_;
};

} // namespace catkintally::entry
