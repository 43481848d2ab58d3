#pragma once

#include <cstdint>

namespace catkintally::entry
{

/// How far a reader of messages has come.
enum class read_state : std::uint8_t
{
    /// More bytes are needed.
    more,
    /// A whole message can be taken.
    done,
    /// The message is refused, and so is everything after it.
    fault
};

} // namespace catkintally::entry
