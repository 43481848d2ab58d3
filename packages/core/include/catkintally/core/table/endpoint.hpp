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

/// Parses "IPv4:port" or "[IPv6]:port". Returns nullopt if the text has another form or the port is
/// 0. Host names are rejected because processes address each other by IP address only.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint as text that parse_endpoint() accepts.
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace catkintally::core
