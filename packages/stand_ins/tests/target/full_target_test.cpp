#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/stand_ins/target/target_control.hpp>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

using namespace catkintally;
using namespace std::chrono_literals;

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t free_port()
{
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    REQUIRE(bind(socket_fd, reinterpret_cast<const sockaddr*>(&address), length) == 0);
    REQUIRE(getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    close(socket_fd);
    return ntohs(address.sin_port);
}

/// A blocking connection that has sent one request.
int send_request(std::uint16_t port)
{
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    REQUIRE(connect(socket_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    const std::string text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
    REQUIRE(send(socket_fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    return socket_fd;
}

} // namespace

// Guards against a stand-in that cannot show what its callers make of a full target that resets
// connections.
TEST_CASE("a full target resets the connection of a request if told to", "[target]")
{
    const bool resets = GENERATE(true, false);
    runtime::event_loop loop;
    core::manual_timer_service timers;
    stand_ins::target_log log;
    const std::uint16_t port = free_port();
    stand_ins::target_server server(
        loop, timers, log, {.slots = 1, .queue = 1}, "127.0.0.1", port, "key");
    CHECK(stand_ins::apply_control(server.model(), {{"reset_when_full", resets}}).empty());
    const auto run = [&]
    {
        for (int pass = 0; pass < 100; ++pass)
        {
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
            timers.advance(0ms);
        }
    };
    const int running = send_request(port);
    run();
    const int waiting = send_request(port);
    run();
    const int surplus = send_request(port);
    run();
    char first = 0;
    const ssize_t received = recv(surplus, &first, 1, MSG_DONTWAIT);
    CHECK(received == (resets ? -1 : 1));
    CHECK((errno == ECONNRESET || !resets));
    CHECK(log.of("target").reset_full == (resets ? 1 : 0));
    CHECK(log.of("target").shed == (resets ? 0 : 1));
    CHECK(recv(running, &first, 1, MSG_DONTWAIT) == -1);
    CHECK(errno == EAGAIN);
    for (const int each : {running, waiting, surplus})
    {
        close(each);
    }
}
