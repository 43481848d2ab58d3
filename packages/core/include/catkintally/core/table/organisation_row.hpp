#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// An organisation whose callers identify themselves by API keys.
struct organisation_row
{
    /// Unique name.
    std::string name;
    /// SHA-256 digests of its API keys, 32 bytes each. The keys themselves are not kept.
    std::vector<std::string> key_digests;
    /// Priority of its requests, 0 is the highest; takes precedence over that of the route. Unset:
    /// the route's applies.
    std::optional<std::uint32_t> priority;
    /// Quota: requests per second over all instances together; 0 means that there is none.
    double requests_per_s = 0;
    /// Requests that may be sent at once in addition to that rate.
    double burst = 0;

    bool operator==(const organisation_row&) const = default;
};

} // namespace catkintally::core
