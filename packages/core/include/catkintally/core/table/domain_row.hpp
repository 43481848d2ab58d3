#pragma once

#include <cstdint>
#include <string>

namespace catkintally::core
{

/// Administrative state of a failure domain, set by operators.
enum class domain_state : std::uint8_t
{
    in,
    out
};

/// Table row of one failure domain, as edited by operators.
struct domain_row
{
    /// Unique name.
    std::string name;
    /// Targets in a domain that is `out` receive no new requests.
    domain_state state = domain_state::in;

    bool operator==(const domain_row&) const = default;
};

} // namespace catkintally::core
