#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace catkintally::core
{

/// The rate limit of one incarnation of a target, as exchanged between instances.
struct target_limit
{
    std::string service;
    std::string target;
    std::uint64_t incarnation = 0;
    /// Logical clock: greater than that of the limit which it replaced.
    std::uint64_t version = 0;
    /// Requests per second from all instances together; nullopt if the target withdrew its limit.
    std::optional<double> per_second{};
    /// Instance that read the response.
    std::string source{};
};

} // namespace catkintally::core
