#pragma once

#include <cstdint>

namespace catkintally::entry
{

/// Traffic of the links between instances since the start, length fields included.
struct peer_counters
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    /// Messages to members without a link.
    std::uint64_t messages_unsent = 0;
    std::uint64_t links_opened = 0;
    std::uint64_t links_refused = 0;
};

} // namespace catkintally::entry
