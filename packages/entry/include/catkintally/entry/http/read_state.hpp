#pragma once

#include <cstdint>

namespace catkintally::entry
{

/// Result of reading from a connection into a message reader.
enum class read_state : std::uint8_t
{
    /// More bytes are needed.
    more,
    /// A complete message can be taken.
    done,
    /// The message is refused, and so is everything after it.
    error
};

} // namespace catkintally::entry
