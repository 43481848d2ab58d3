#pragma once

#include <cstdint>

namespace catkintally::entry
{

/// Traffic on the links between instances since the start. Bytes include the length prefixes of
/// frames.
struct peer_counters
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    /// Messages dropped because there was no link to the receiver.
    std::uint64_t messages_dropped = 0;
    std::uint64_t links_opened = 0;
    /// Links that ended because of a malformed frame, a rejected hello or a hello time-out.
    std::uint64_t links_refused = 0;
};

} // namespace catkintally::entry
