#include <catkintally/entry/peers/hello_auth.hpp>
#include <catkintally/entry/peers/peer_link.hpp>
#include <catkintally/entry/peers/peer_network.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include "support/free_address.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// One end with a record of what arrived.
struct peer_end
{
    peer_end(
        runtime::event_loop& loop,
        core::timer_service& timers,
        const std::string& name,
        const std::string& key,
        std::vector<std::string> seeds,
        std::uint64_t incarnation = 1)
        : self{.id = {.instance = name, .incarnation = incarnation}, .failure_domain = "a", .peer_address = free_address(), .leaving = false}
        , network({
              .loop = &loop,
              .timers = &timers,
              .self = self,
              .listen_address = self.peer_address,
              .key = key,
              .seeds = std::move(seeds),
              .seed = 7,
              .receive =
                  [this](const core::member& peer, const wire::payloadUnion& message)
              {
                  if (const auto* pull = message.Asview_pull())
                  {
                      received.emplace_back(peer.id.instance, pull->epoch);
                  }
              },
              .linked = [this](const core::member_id& peer) { linked.push_back(peer); },
          })
    {
        REQUIRE(network.start());
    }

    core::member self;
    std::vector<std::pair<std::string, std::uint64_t>> received;
    std::vector<core::member_id> linked;
    peer_network network;
};

/// Runs the loop until `done` or a limit that only a fault reaches.
void run_until(
    runtime::event_loop& loop, core::timer_service& timers, const std::function<bool()>& done)
{
    const auto limit = timers.now() + 20s;
    std::function<void()> check = [&]
    {
        if (done() || timers.now() > limit)
        {
            loop.stop();
            return;
        }
        timers.schedule_after(1ms, check);
    };
    // A stop before run() would have no effect, so even the first check runs from the loop.
    timers.schedule_after(core::duration::zero(), check);
    loop.run();
}

wire::payloadUnion pull_of(std::uint64_t epoch)
{
    wire::view_pull_data pull;
    pull.epoch = epoch;
    return wire::make_message(pull);
}

/// Connects like a stranger and sends bytes; returns the socket.
int stranger(const std::string& address, const std::string& bytes)
{
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(10))));
    REQUIRE(connect(handle, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0);
    REQUIRE(write(handle, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    return handle;
}

bool closed(int handle)
{
    char byte = 0;
    const ssize_t size = recv(handle, &byte, 1, MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

} // namespace

// Guards against messages that are lost or attributed to the wrong sender on a healthy link.
TEST_CASE("linked instances exchange messages in both directions")
{
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    peer_end left(loop, timers, "left", "secret", {});
    peer_end right(loop, timers, "right", "secret", {left.self.peer_address});
    run_until(loop, timers, [&] { return !left.linked.empty() && !right.linked.empty(); });
    left.network.send(right.self.id, pull_of(1));
    right.network.send(left.self.id, pull_of(2));
    left.network.send({.instance = "nobody", .incarnation = 1}, pull_of(3));
    run_until(loop, timers, [&] { return !left.received.empty() && !right.received.empty(); });
    CHECK(right.received == std::vector<std::pair<std::string, std::uint64_t>>{{"left", 1}});
    CHECK(left.received == std::vector<std::pair<std::string, std::uint64_t>>{{"right", 2}});
    CHECK(left.network.counters().messages_dropped == 1);
    CHECK(left.network.counters().bytes_sent == right.network.counters().bytes_received);
    CHECK(right.network.counters().bytes_sent == left.network.counters().bytes_received);
}

// Guards against a process without the shared key that takes part in the fleet.
TEST_CASE("a peer with another key is not linked")
{
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    peer_end left(loop, timers, "left", "secret", {});
    peer_end right(loop, timers, "right", "other", {left.self.peer_address});
    run_until(loop, timers, [&] { return left.network.counters().links_refused >= 2; });
    CHECK(left.linked.empty());
    CHECK(right.linked.empty());
}

// Guards against a damaged or hostile connection that disturbs other links.
TEST_CASE("faulty connections are closed and healthy links stay")
{
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    peer_end left(loop, timers, "left", "secret", {});
    peer_end right(loop, timers, "right", "secret", {left.self.peer_address});
    run_until(loop, timers, [&] { return !left.linked.empty() && !right.linked.empty(); });

    const core::member ghost{
        .id = {.instance = "ghost", .incarnation = 9},
        .failure_domain = "b",
        .peer_address = "127.0.0.1:1",
        .leaving = false};
    auto old_version = make_hello(ghost, "secret", 5, 0);
    old_version.version = 99;
    const std::vector<std::string> inputs{
        std::string("\xff\xff\xff\xff", 4), std::string("\x04\0\0\0abcd", 8),
        wire::encode_frame(pull_of(1)).value(),
        wire::encode_frame(wire::make_message(std::move(old_version))).value(),
        // A recorded first hello, followed by a second one that is not bound to the new nonce.
        wire::encode_frame(wire::make_message(make_hello(ghost, "secret", 5, 0))).value() +
            wire::encode_frame(wire::make_message(make_hello(ghost, "secret", 5, 0))).value()};
    for (const std::string& input : inputs)
    {
        const std::uint64_t refused = left.network.counters().links_refused;
        const int handle = stranger(left.self.peer_address, input);
        run_until(loop, timers, [&] { return left.network.counters().links_refused > refused; });
        CHECK(left.network.counters().links_refused == refused + 1);
        // The hello of the accepting side may still be in the buffer.
        char rest[512];
        while (recv(handle, rest, sizeof rest, MSG_DONTWAIT) > 0)
        {
        }
        run_until(loop, timers, [&] { return closed(handle); });
        CHECK(closed(handle));
        close(handle);
    }
    CHECK(left.linked.size() == 1);
    right.network.send(left.self.id, pull_of(4));
    run_until(loop, timers, [&] { return !left.received.empty(); });
    CHECK(left.received.back().second == 4);
}

// Guards against a link that keeps the identity of an earlier incarnation.
TEST_CASE("links start again after a change of incarnation and after a restart")
{
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    peer_end left(loop, timers, "left", "", {});
    peer_end right(loop, timers, "right", "", {left.self.peer_address});
    run_until(loop, timers, [&] { return !left.linked.empty(); });
    core::member next = right.self;
    next.id.incarnation = 2;
    right.network.set_self(next);
    run_until(loop, timers, [&] { return left.linked.size() >= 2; });
    CHECK(left.linked.back() == next.id);
    right.network.send(left.self.id, pull_of(5));
    run_until(loop, timers, [&] { return !left.received.empty(); });
    REQUIRE(left.received.size() == 1);
    CHECK(left.network.linked_members() == std::vector<core::member_id>{next.id});
}

// Guards against seeds that lose the first packet of most dialers when hundreds of instances start
// together: those would try again only after a second, and read the store meanwhile.
TEST_CASE("a seed takes the connections of hundreds of instances that dial at the same moment")
{
    constexpr std::size_t dialers = 600;
    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    const peer_end seed(loop, timers, "seed", "k", {});
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(
        std::stoul(seed.self.peer_address.substr(seed.self.peer_address.find(':') + 1))));

    // The seed's loop does not run, so all of them wait to be accepted.
    std::vector<int> sockets;
    std::size_t connected = 0;
    for (std::size_t index = 0; index < dialers; ++index)
    {
        const int dialed = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        REQUIRE(dialed >= 0);
        sockets.push_back(dialed);
        // In progress if the queue is full.
        static_cast<void>(
            connect(dialed, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        connected += getpeername(dialed, reinterpret_cast<sockaddr*>(&peer), &size) == 0 ? 1 : 0;
    }
    CHECK(connected == dialers);
    for (const int dialed : sockets)
    {
        close(dialed);
    }
}

// Guards against dialers that wait a second for the system to send their first packet again, after
// a machine without power has missed it, and against a machine without power that is logged as one
// that was rejected.
TEST_CASE("a link to an address that does not answer is given up soon")
{
    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    // A listener whose queue is full drops the first packet of further connections.
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener, 0) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    std::vector<int> waiting;
    for (int index = 0; index < 4; ++index)
    {
        waiting.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        static_cast<void>(connect(waiting.back(), reinterpret_cast<sockaddr*>(&address), size));
    }

    peer_counters counters;
    std::optional<link_end_reason> ended;
    peer_link link(
        {.base = loop.base(),
         .self =
             {.id = {.instance = "a", .incarnation = 1},
              .failure_domain = "d",
              .peer_address = "127.0.0.1:1"},
         .key = "k",
         .nonce = 1,
         .expected_instance = "",
         .up = [] {},
         .message = [](const wire::payloadUnion&) {},
         .ended = [&](link_end_reason reason, const std::string&) { ended = reason; },
         .counters = &counters});
    REQUIRE(link.connect("127.0.0.1:" + std::to_string(ntohs(address.sin_port))));
    run_until(loop, timers, [&] { return ended.has_value(); });
    CHECK(*ended == link_end_reason::disconnected);
    waiting.push_back(listener);
    for (const int each : waiting)
    {
        close(each);
    }
}
