#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkintally::core
{

/// IP address and TCP port.
struct endpoint
{
    /// IPv4 or IPv6 address without brackets.
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
};

/// Reads "IPv4:port" or "[IPv6]:port"; nothing if the text is not such an address or the port is 0.
/// Host names are refused, because processes find each other by IP address only.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// Writes the form that parse_endpoint() reads.
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace catkintally::core
