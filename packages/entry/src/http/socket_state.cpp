#include <catkintally/entry/http/socket_state.hpp>

#include <algorithm>
#include <array>
#include <cerrno>

#include <linux/filter.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace catkintally::entry
{

namespace
{

constexpr std::size_t max_send_buffer = 16'777'216;

/// Largest send buffer that a process may ask for where net.core.wmem_max has its default.
constexpr int usual_buffer_limit = 2 * 212'992;

constexpr int max_discard_rounds = 64;

} // namespace

socket_input peek_input(int socket)
{
    char byte = 0;
    const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0)
    {
        return socket_input::data;
    }
    return size < 0 && (errno == EAGAIN || errno == EINTR) ? socket_input::none
                                                           : socket_input::ended;
}

std::optional<std::size_t> unacknowledged_bytes(int socket)
{
    int bytes = 0;
    if (ioctl(socket, SIOCOUTQ, &bytes) != 0 || bytes < 0)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(bytes);
}

peer_state look_at_peer(int socket)
{
    pollfd polled{.fd = socket, .events = POLLRDHUP, .revents = 0};
    if (poll(&polled, 1, 0) <= 0)
    {
        return peer_state::open;
    }
    return (polled.revents & (POLLERR | POLLHUP)) != 0 ? peer_state::failed
                                                       : peer_state::sending_closed;
}

void reserve_send_buffer(int socket, std::size_t bytes)
{
    // The kernel counts its own bookkeeping against the buffer, which can double the size.
    constexpr std::size_t overhead = 2;
    const std::size_t queued = unacknowledged_bytes(socket).value_or(0);
    const auto wanted =
        static_cast<int>(std::min<std::size_t>((queued + bytes) * overhead, max_send_buffer));
    int size = 0;
    socklen_t length = sizeof size;
    // Setting a size turns off the kernel's own adjustment and is clipped to net.core.wmem_max, so
    // a buffer that is larger than the usual limit is left alone.
    if (getsockopt(socket, SOL_SOCKET, SO_SNDBUF, &size, &length) == 0 &&
        size < std::min(wanted, usual_buffer_limit))
    {
        setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &wanted, sizeof wanted);
    }
}

void ignore_input(int socket)
{
    // A filter that keeps one byte of each segment leaves its header, and so its acknowledgement.
    sock_filter keep_header = BPF_STMT(BPF_RET | BPF_K, 1);
    const sock_fprog program{.len = 1, .filter = &keep_header};
    setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    std::array<char, 16'384> chunk{};
    for (int round = 0; round < max_discard_rounds; ++round)
    {
        if (recv(socket, chunk.data(), chunk.size(), MSG_DONTWAIT) <= 0)
        {
            return;
        }
    }
}

} // namespace catkintally::entry
