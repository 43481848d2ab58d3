#pragma once

#include <catkintally/core/fleet/member.hpp>

#include <cstddef>
#include <vector>

namespace catkintally::core
{

/// Number of earlier epochs whose members a view carries. A first start of 13 instances makes 13
/// epochs before operators add the first service, and recovery must be able to walk past them.
inline constexpr std::size_t view_history_epochs = 16;

/// Members of one earlier epoch.
struct past_epoch
{
    std::uint64_t epoch = 0;
    std::vector<member> members;

    bool operator==(const past_epoch&) const = default;
};

/// The versioned list of members. Every change makes a successor with the next epoch.
struct view
{
    std::uint64_t epoch = 0;
    /// Sorted by instance name.
    std::vector<member> members;
    /// Earlier epochs, newest first.
    std::vector<past_epoch> history;

    bool operator==(const view&) const = default;

    /// Member with this id, nullptr if there is none.
    [[nodiscard]] const member* find(const member_id& id) const;

    /// Member of that instance in any incarnation, nullptr if there is none.
    [[nodiscard]] const member* find_instance(std::string_view instance) const;

    /// Members of this or an earlier epoch, nullptr if the history does not reach back that far.
    [[nodiscard]] const std::vector<member>* members_of(std::uint64_t wanted) const;

    /// Next epoch with the given members; this epoch moves into the history.
    [[nodiscard]] view successor(std::vector<member> next_members) const;
};

} // namespace catkintally::core
