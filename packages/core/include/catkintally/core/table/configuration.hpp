#pragma once

#include <catkintally/core/table/caller_limits.hpp>
#include <catkintally/core/table/organisation_row.hpp>
#include <catkintally/core/table/route_row.hpp>
#include <catkintally/core/table/service_row.hpp>
#include <catkintally/core/table/target_row.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// An organisation of a configuration that cannot be used. The others are in force.
struct refused_organisation
{
    /// Empty if it has no usable name.
    std::string name;
    /// Path of the invalid member.
    std::string where;
    /// What was expected there.
    std::string expected;
};

/// Routes, services and limits as configured by the operator of a hosting platform. Targets are not
/// part of it: they register themselves.
struct configuration
{
    /// Version assigned by the operator; increases with each configuration.
    std::uint64_t version = 0;
    std::vector<route_row> routes;
    std::vector<service_row> services;
    caller_limits limits;
    /// Organisations whose callers need an API key. Unset: no keys are required.
    std::optional<std::vector<organisation_row>> organisations;
    std::vector<refused_organisation> refused_organisations;
};

/// Registration that a target publishes about itself.
struct target_registration
{
    std::string service;
    target_row target;
    /// Start time of the target's process by the target's own clock; it identifies the incarnation.
    /// Only compared with other start times of the same target: a later one is a new incarnation,
    /// which has no state from earlier ones.
    std::uint64_t started = 0;
    /// Sequence number of this registration within its incarnation.
    std::uint64_t sequence = 0;
};

} // namespace catkintally::core
