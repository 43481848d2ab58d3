#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>

namespace catkintally::core
{

/// Size and time limits on the connections and requests of callers.
struct caller_limits
{
    /// Largest request head (request line and headers), in bytes.
    std::size_t header_bytes = 16'384;
    /// Largest request body, in bytes.
    std::uint64_t body_bytes = 8'388'608;
    /// How long a connection without a request is kept open.
    duration idle_time = std::chrono::seconds(60);
    /// Time limit from the first byte of a request to the end of its head; the same limit applies
    /// again until the end of its body.
    duration request_time = std::chrono::seconds(30);

    bool operator==(const caller_limits&) const = default;
};

} // namespace catkintally::core
