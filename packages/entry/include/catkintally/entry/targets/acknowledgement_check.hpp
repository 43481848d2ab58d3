#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <netinet/tcp.h>

namespace catkintally::entry
{

/// True if the peer's machine has acknowledged nothing for `limit`, although there was something to
/// acknowledge. `since_sent` is the time since the request was sent. TCP_USER_TIMEOUT would also
/// end the connection of a peer that leaves a long body unread, although its machine answers every
/// probe of the closed window.
[[nodiscard]] bool
lacks_acknowledgements(const tcp_info& state, core::duration since_sent, core::duration limit);

} // namespace catkintally::entry
