#pragma once

#include <cstdint>
#include <string>

namespace catkintally::core
{

/// Whether a response names a rate limit.
enum class limit_statement_kind : std::uint8_t
{
    absent,
    named,
    /// The header is present but holds no usable rate.
    malformed
};

/// What one response of a target says about the requests per second that the target accepts from
/// all instances together.
struct limit_statement
{
    limit_statement_kind kind = limit_statement_kind::absent;
    /// Requests per second, set if named.
    double per_second = 0;
    /// The header as received, for the log.
    std::string text{};
};

} // namespace catkintally::core
