#pragma once

#include <cstdint>
#include <string>

namespace catkintally::core
{

/// Whether operators let a failure domain take new work.
enum class domain_state : std::uint8_t
{
    in,
    out
};

/// One failure domain as operators edit it.
struct domain_row
{
    /// Unique name.
    std::string name;
    /// A domain that is out receives no new work.
    domain_state state = domain_state::in;

    bool operator==(const domain_row&) const = default;
};

} // namespace catkintally::core
