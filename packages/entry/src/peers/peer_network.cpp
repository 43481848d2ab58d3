#include <catkintally/entry/peers/peer_network.hpp>

#include <catkintally/runtime/log/event_log.hpp>

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <openssl/rand.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::entry
{

using runtime::event_id;
using runtime::log_event;
using std::chrono::milliseconds;

namespace
{

constexpr core::duration first_back_off = milliseconds(50);
constexpr core::duration longest_back_off = milliseconds(1000);

/// Time for a new connection in the first attempts; later ones get twice the back-off. A machine
/// that gets its power back misses the first packet, and the system would send it again only after
/// a second. Round trips within a region take a few milliseconds.
constexpr core::duration first_connect_time = milliseconds(100);

/// Nonces must not be predictable, so they do not come from the seeded generator.
std::uint64_t random_nonce()
{
    std::uint64_t nonce = 0;
    const int filled = RAND_bytes(reinterpret_cast<unsigned char*>(&nonce), sizeof nonce);
    assert(filled == 1);
    static_cast<void>(filled);
    return nonce | 1U;
}

/// Connections that wait to be accepted. All instances may start together and dial the same seeds;
/// a connection beyond this number is tried again by its system only after a second.
constexpr int backlog = 4'096;

/// Accepted links beyond this number are refused; a fleet is far smaller.
constexpr std::size_t most_links = 1'000;

} // namespace

struct peer_network::callbacks
{
    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context)
    {
        auto* self = static_cast<peer_network*>(context);
        if (self->links_.size() >= most_links)
        {
            evutil_closesocket(socket);
            return;
        }
        self->add_link(self->next_link_++, {}, {}).accept(socket);
    }
};

void peer_network::listener_deleter::operator()(evconnlistener* listener) const
{
    evconnlistener_free(listener);
}

peer_network::peer_network(peer_network_options options)
    : options_(std::move(options))
    , random_(options_.seed)
{
}

peer_network::~peer_network()
{
    options_.timers->cancel(cleanup_timer_);
    for (const auto& [address, state] : dials_)
    {
        options_.timers->cancel(state.timer);
    }
}

bool peer_network::start()
{
    sockaddr_storage storage{};
    int size = sizeof storage;
    if (evutil_parse_sockaddr_port(
            options_.listen_address.c_str(), reinterpret_cast<sockaddr*>(&storage), &size) != 0)
    {
        return false;
    }
    listener_.reset(evconnlistener_new_bind(
        options_.loop->base(), &callbacks::on_accept, this,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<sockaddr*>(&storage), size));
    if (!listener_)
    {
        return false;
    }
    if (options_.key.empty())
    {
        log_event(event_id::peer_authentication_off);
    }
    set_members({});
    return true;
}

void peer_network::set_members(const core::view& current)
{
    wanted_.clear();
    for (const std::string& address : options_.seeds)
    {
        wanted_[address];
    }
    for (const core::member& entry : current.members)
    {
        wanted_[entry.peer_address] = entry.id.instance;
    }
    wanted_.erase(options_.self.peer_address);
    refresh_dials();
}

void peer_network::refresh_dials()
{
    // Links to addresses that are no longer wanted end.
    for (auto entry = dials_.begin(); entry != dials_.end();)
    {
        if (wanted_.contains(entry->first))
        {
            ++entry;
            continue;
        }
        options_.timers->cancel(entry->second.timer);
        remove_later(entry->second.link);
        entry = dials_.erase(entry);
    }
    for (const auto& [address, instance] : wanted_)
    {
        if (dials_.try_emplace(address).second)
        {
            dial(address);
        }
    }
}

void peer_network::set_self(const core::member& self)
{
    options_.self = self;
    std::vector<link_number> all;
    for (const auto& [number, link] : links_)
    {
        all.push_back(number);
    }
    for (const link_number number : all)
    {
        remove_later(number);
    }
    for (auto& [address, state] : dials_)
    {
        state.link = 0;
        state.back_off = {};
        dial_later(address);
    }
}

peer_link& peer_network::add_link(
    link_number number, const std::string& address, const std::string& expected_instance)
{
    auto link = std::make_unique<peer_link>(peer_link_options{
        .base = options_.loop->base(),
        .self = options_.self,
        .key = options_.key,
        .nonce = random_nonce(),
        .expected_instance = expected_instance,
        .up = [this, number] { link_up(number); },
        .message =
            [this, number](const wire::payloadUnion& message)
        {
            // A message may end links, so the peer is copied.
            if (const auto found = links_.find(number); found != links_.end())
            {
                const core::member peer = found->second->peer();
                options_.receive(peer, message);
            }
        },
        .ended = [this, number, address](link_end_reason reason, const std::string& detail)
        { link_ended(number, address, reason, detail); },
        .counters = &counters_,
        .connect_timeout = connect_time_of(address)});
    return *links_.emplace(number, std::move(link)).first->second;
}

core::duration peer_network::connect_time_of(const std::string& address) const
{
    const auto dialed = dials_.find(address);
    const core::duration back_off =
        dialed == dials_.end() ? core::duration::zero() : dialed->second.back_off;
    return std::max(first_connect_time, 2 * back_off);
}

void peer_network::dial(const std::string& address)
{
    dial_state& state = dials_.at(address);
    const link_number number = next_link_++;
    state.link = number;
    if (!add_link(number, address, wanted_.at(address)).connect(address))
    {
        remove_later(number);
        state.link = 0;
        dial_later(address);
    }
}

void peer_network::dial_later(const std::string& address)
{
    dial_state& state = dials_.at(address);
    if (state.own)
    {
        return;
    }
    options_.timers->cancel(state.timer);
    state.back_off = std::clamp(state.back_off * 2, first_back_off, longest_back_off);
    const auto jitter = static_cast<core::duration::rep>(
        random_() % static_cast<std::uint64_t>(state.back_off.count() / 2));
    state.timer = options_.timers->schedule_after(
        state.back_off + core::duration(jitter), [this, address] { dial(address); });
}

void peer_network::link_up(link_number number)
{
    const core::member peer = links_.at(number)->peer();
    for (auto& [address, state] : dials_)
    {
        if (state.link == number)
        {
            state.back_off = {};
        }
    }
    ++counters_.links_opened;
    log_event(
        event_id::peer_link_up, {{"peer", core::to_text(peer.id)}, {"address", peer.peer_address}});
    options_.linked(peer.id);
}

void peer_network::link_ended(
    link_number number,
    const std::string& address,
    link_end_reason reason,
    const std::string& detail)
{
    const auto found = links_.find(number);
    if (found == links_.end())
    {
        return;
    }
    std::string peer = address;
    bool was_known = false;
    if (found->second->has_peer())
    {
        peer = core::to_text(found->second->peer().id);
        was_known = true;
    }
    switch (reason)
    {
    case link_end_reason::malformed:
        ++counters_.links_refused;
        log_event(event_id::peer_frame_malformed, {{"peer", peer}, {"error", detail}});
        break;
    case link_end_reason::rejected:
    case link_end_reason::hello_timeout:
        ++counters_.links_refused;
        log_event(
            event_id::peer_rejected,
            {{"peer", peer}, {"reason", detail.empty() ? link_end_reason_name(reason) : detail}});
        break;
    case link_end_reason::overflow:
        log_event(event_id::peer_output_overflow, {{"peer", peer}});
        break;
    case link_end_reason::disconnected:
        // Failed attempts to connect are repeated with a back-off and not logged.
        if (was_known)
        {
            log_event(event_id::peer_link_down, {{"peer", peer}});
        }
        break;
    case link_end_reason::own_address:
        break;
    }
    remove_later(number);
    const auto dialed = dials_.find(address);
    if (dialed != dials_.end() && dialed->second.link == number)
    {
        dialed->second.link = 0;
        dialed->second.own = reason == link_end_reason::own_address;
        dial_later(address);
    }
}

void peer_network::remove_later(link_number number)
{
    const auto found = links_.find(number);
    if (found == links_.end())
    {
        return;
    }
    ended_links_.push_back(std::move(found->second));
    links_.erase(found);
    if (cleanup_timer_ == 0)
    {
        cleanup_timer_ = options_.timers->schedule_after(
            core::duration::zero(),
            [this]
            {
                cleanup_timer_ = 0;
                ended_links_.clear();
            });
    }
}

peer_link* peer_network::find_link(const core::member_id& to) const
{
    peer_link* best = nullptr;
    for (const auto& [number, link] : links_)
    {
        if (link->is_up() && link->peer().id == to && (best == nullptr || !best->dialed()))
        {
            best = link.get();
        }
    }
    return best;
}

void peer_network::send(const core::member_id& to, const wire::payloadUnion& message)
{
    peer_link* link = find_link(to);
    const auto frame = link == nullptr ? boost::leaf::result<std::string>(std::string())
                                       : wire::encode_frame(message);
    if (link == nullptr || !frame)
    {
        ++counters_.messages_dropped;
        return;
    }
    link->send(*frame);
}

void peer_network::send_frame(const core::member_id& to, const std::string& frame)
{
    if (peer_link* link = find_link(to))
    {
        link->send(frame);
        return;
    }
    ++counters_.messages_dropped;
}

void peer_network::send_to_all(const wire::payloadUnion& message, const core::member_id& except)
{
    const auto frame = wire::encode_frame(message);
    if (!frame)
    {
        ++counters_.messages_dropped;
        return;
    }
    for (const core::member_id& each : linked_members())
    {
        peer_link* link = each == except ? nullptr : find_link(each);
        if (link != nullptr)
        {
            link->send(*frame);
        }
    }
}

std::vector<core::member_id> peer_network::linked_members() const
{
    std::set<core::member_id> ids;
    for (const auto& [number, link] : links_)
    {
        if (link->is_up())
        {
            ids.insert(link->peer().id);
        }
    }
    return {ids.begin(), ids.end()};
}

std::vector<std::string> peer_network::linked_addresses() const
{
    std::set<std::string> addresses;
    for (const auto& [number, link] : links_)
    {
        if (link->is_up())
        {
            addresses.insert(link->peer().peer_address);
        }
    }
    return {addresses.begin(), addresses.end()};
}

} // namespace catkintally::entry
