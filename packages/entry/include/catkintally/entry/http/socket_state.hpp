#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace catkintally::entry
{

/// What the receive queue of a connected socket holds.
enum class socket_input : std::uint8_t
{
    none,
    data,
    /// The peer has closed its sending side, or the connection has failed.
    ended
};

/// Looks at the receive queue without removing anything.
[[nodiscard]] socket_input peek_input(int socket);

/// Number of bytes in the send queue that the peer has not acknowledged, an unacknowledged FIN
/// included; empty if the system does not tell.
[[nodiscard]] std::optional<std::size_t> unacknowledged_bytes(int socket);

} // namespace catkintally::entry
