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

/// What is known of the other end of a connection.
enum class peer_state : std::uint8_t
{
    open,
    /// It has closed its sending side, and perhaps the whole connection.
    sending_closed,
    /// The connection has failed, for example by a reset.
    failed
};

/// State of the peer, also while input is unread.
[[nodiscard]] peer_state look_at_peer(int socket);

/// Enlarges the send buffer so that it takes `bytes` more, as far as the system allows. The kernel
/// delivers what is in the buffer even after the process has ended.
void reserve_send_buffer(int socket, std::size_t bytes);

/// Removes what is in the receive queue, up to a bound, and makes the kernel strip the payload of
/// what still arrives. Unread input at the close, and input after it, would reset the connection
/// and drop the output that the kernel has not delivered yet. For a socket that is closed next.
void ignore_input(int socket);

} // namespace catkintally::entry
