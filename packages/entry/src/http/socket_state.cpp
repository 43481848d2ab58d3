#include <catkintally/entry/http/socket_state.hpp>

#include <cerrno>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace catkintally::entry
{

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

} // namespace catkintally::entry
