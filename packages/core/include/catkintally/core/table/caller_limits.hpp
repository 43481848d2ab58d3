#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>

namespace catkintally::core
{

/// What callers may send, and how long they may take.
struct caller_limits
{
    /// Largest request head.
    std::size_t header_bytes = 16'384;
    /// Largest request body.
    std::uint64_t body_bytes = 8'388'608;
    /// How long a connection is kept without a request.
    duration idle_time = std::chrono::seconds(60);
    /// From the first byte of a request to the end of its head, and again to the end of its body.
    duration request_time = std::chrono::seconds(30);

    bool operator==(const caller_limits&) const = default;
};

} // namespace catkintally::core
