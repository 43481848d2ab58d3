#pragma once

#include <cstddef>

namespace catkintally::bench
{

/// Processor time of this process so far, in nanoseconds.
[[nodiscard]] double processor_time_ns();

/// Bytes that the C library's allocator has handed out and not got back.
[[nodiscard]] std::size_t allocated_bytes();

} // namespace catkintally::bench
