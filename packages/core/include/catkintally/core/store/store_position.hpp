#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace catkintally::core
{

/// Order of the states of the store, compared member by member.
struct store_position
{
    /// Rises by one each time the store is restored from an older copy. Versions then go back to
    /// the copy's, and the same version may be assigned to different content.
    std::uint64_t era = 0;
    /// The store's change counter.
    std::uint64_t version = 0;

    bool operator==(const store_position&) const = default;
    auto operator<=>(const store_position& other) const
    {
        return std::tie(era, version) <=> std::tie(other.era, other.version);
    }
};

} // namespace catkintally::core
