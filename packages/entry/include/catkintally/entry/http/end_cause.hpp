#pragma once

#include <cstdint>
#include <string_view>

namespace catkintally::entry
{

/// How a caller's connection ended.
enum class end_cause : std::uint8_t
{
    /// The caller closed it while nothing was due on it.
    caller_closed,
    /// The caller closed it while an answer was due.
    caller_gone,
    /// The network or the caller reset it.
    reset,
    /// No request came in time.
    idle,
    /// All answers were sent, and the caller did not close it in time.
    lingered,
    /// The caller did not read its answer in time.
    slow_reader,
    /// The process ended first.
    process_end
};

constexpr std::size_t end_cause_count = 7;

/// Name used in logs and as the metrics label `how`.
[[nodiscard]] std::string_view end_cause_name(end_cause how);

/// State of a connection at its end.
struct connection_summary
{
    end_cause how = end_cause::caller_closed;
    /// Requests that were read and have no answer.
    std::size_t unanswered = 0;
    /// Bytes of answers that were not handed to the kernel.
    std::size_t unsent_bytes = 0;
    /// Bytes of answers that the caller's machine has not acknowledged.
    std::size_t unacknowledged_bytes = 0;
    /// Input that was not read. Closing the socket resets the connection then.
    bool unread_input = false;
};

} // namespace catkintally::entry
