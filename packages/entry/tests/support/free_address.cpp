#include "support/free_address.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkintally::entry
{

std::string free_address()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    close(probe);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace catkintally::entry
