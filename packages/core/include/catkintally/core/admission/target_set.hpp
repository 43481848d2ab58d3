#pragma once

#include <catkintally/core/admission/target_choice.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <optional>
#include <string>

namespace catkintally::core
{

/// All targets of one service. Rows that left the table stay while they hold places, because those
/// places still count if the row comes back.
class target_set
{
public:
    /// Drops the targets whose rows are gone, or makes them unavailable while they hold places.
    void remove_unlisted(const service_config& config, time_point now);

    /// The target, or null.
    [[nodiscard]] target_admission* find(const std::string& name) const;

    /// The target; a new one is not available until its row is applied.
    target_admission& find_or_add(const target_row& row);

    /// True if the target may be ejected: at most half of the available targets are at a time.
    [[nodiscard]] bool may_eject(const target_admission& target) const;

    /// True if some target has a free place.
    [[nodiscard]] bool any_free(std::uint32_t ahead, time_point now) const;

    /// Slots of all warm targets.
    [[nodiscard]] std::uint32_t warm_slots() const;

    /// Earliest time at which a limit changes or a held place is returned by itself.
    [[nodiscard]] std::optional<time_point> next_change(time_point now) const;

    [[nodiscard]] const target_list& all() const { return targets_; }

private:
    target_list targets_;
};

/// True if operators let the target take new work.
[[nodiscard]] bool takes_new_work(const target_row& row, const table_snapshot& table);

} // namespace catkintally::core
