#pragma once

#include <catkintally/core/fleet/view.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <functional>
#include <set>

namespace catkintally::core
{

/// Facts on which an instance chooses a target without an owner.
struct fixed_share_input
{
    const view* current = nullptr;
    member_id self;
    const table_snapshot* table = nullptr;
    const service_config* service = nullptr;
    /// True if one of this instance's own granted requests was answered there lately.
    std::function<bool(const std::string& target)> assumed_warm;
    /// Requests that this instance has at the target.
    std::function<std::uint32_t(const std::string& target)> in_use;
    /// No request that an owner granted can still run, so that slot 0 of a cold target is free.
    bool cold_allowed = false;
    std::vector<std::string> excluded;
};

/// Target that this instance may use without an owner, nullptr if there is none (design, section
/// 4.6). The slots of all targets that may take work are numbered in the order of the table, and
/// slot p belongs to active member p mod n.
[[nodiscard]] const target_row* choose_fixed_share(const fixed_share_input& input);

} // namespace catkintally::core
