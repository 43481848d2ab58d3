#pragma once

#include <catkintally/runtime/http/http_exchange.hpp>

#include <cstdint>
#include <string_view>

namespace catkintally::stand_ins
{

/// What one sending told the caller about its request.
enum class call_result : std::uint8_t
{
    answered,
    refused_not_run,
    attempt_not_run,
    in_progress,
    already_run,
    unknown,
    /// No whole response: time-out, lost connection or no connection.
    no_answer
};

/// Number of values of call_result.
inline constexpr std::size_t call_result_count = 7;

[[nodiscard]] std::string_view to_string(call_result result);

/// Reads the outcome header of a response; a response without one is the target's own answer.
[[nodiscard]] call_result classify(const runtime::http_response& response);

/// True if a caller stops sending an order after this result.
[[nodiscard]] bool is_final(call_result result);

} // namespace catkintally::stand_ins
