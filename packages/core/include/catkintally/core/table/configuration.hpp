#pragma once

#include <catkintally/core/table/caller_limits.hpp>
#include <catkintally/core/table/route_row.hpp>
#include <catkintally/core/table/service_row.hpp>
#include <catkintally/core/table/target_row.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Routes, services and limits as the operator of a hosting platform wrote them. Targets register
/// themselves and are not part of it.
struct configuration
{
    /// The operator's number of this configuration; grows with each one.
    std::uint64_t version = 0;
    std::vector<route_row> routes;
    std::vector<service_row> services;
    caller_limits limits;
};

/// What a target that registers itself says about itself.
struct target_registration
{
    std::string service;
    target_row target;
    /// Start of the target's process, in its own clock. Only compared with other starts of the same
    /// target: a later one is a new incarnation that knows nothing of before.
    std::uint64_t started = 0;
    /// Counts what one incarnation has said.
    std::uint64_t sequence = 0;
};

} // namespace catkintally::core
