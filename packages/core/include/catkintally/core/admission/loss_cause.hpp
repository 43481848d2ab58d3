#pragma once

#include <cstdint>

namespace catkintally::core
{

/// Why a request is considered lost.
enum class loss_cause : std::uint8_t
{
    /// The target answers no health check and no new connection to it can be established.
    target_silent,
    /// A target of another name answers at the address, or the target has started anew. The former
    /// one may still finish its requests.
    target_replaced,
    /// The target reports fewer requests than this instance has in flight there.
    not_at_target,
    /// The target works on the request, but so slowly that another one may answer earlier. Not a
    /// loss: the request is hedged.
    slow
};

/// Name of a cause in log events.
[[nodiscard]] const char* loss_cause_name(loss_cause cause);

} // namespace catkintally::core
