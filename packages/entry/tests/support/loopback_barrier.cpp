#include "support/loopback_barrier.hpp"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkintally::entry
{

loopback_barrier::loopback_barrier()
    : socket_(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* name = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof address;
    REQUIRE(bind(socket_, name, length) == 0);
    REQUIRE(getsockname(socket_, name, &length) == 0);
    REQUIRE(connect(socket_, name, length) == 0);
}

loopback_barrier::~loopback_barrier()
{
    close(socket_);
}

void loopback_barrier::wait() const
{
    char byte = 0;
    if (send(socket_, &byte, 1, 0) == 1)
    {
        static_cast<void>(recv(socket_, &byte, 1, 0));
    }
}

} // namespace catkintally::entry
