#include <catkintally/core/table/endpoint.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace catkintally::core
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    in6_addr binary{};
    // inet_pton() reads up to a zero byte.
    if (host.find('\0') != std::string::npos ||
        inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), &binary) != 1)
    {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port == 0)
    {
        return std::nullopt;
    }
    return endpoint{.host = std::move(host), .port = port};
}

std::string to_string(const endpoint& address)
{
    const bool ipv6 = address.host.find(':') != std::string::npos;
    return (ipv6 ? '[' + address.host + ']' : address.host) + ':' + std::to_string(address.port);
}

} // namespace catkintally::core
