#pragma once

#include <catkintally/core/admission/target_choice.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <optional>
#include <string>

namespace catkintally::core
{

/// All targets of one service. A target removed from the table is kept while it has requests in
/// flight, because those still count against its limit if the row comes back.
class target_set
{
public:
    /// Removes the targets whose rows are gone; those with requests in flight become unavailable.
    void remove_unlisted(const service_config& config, time_point now);

    /// Returns the target, or null if unknown.
    [[nodiscard]] target_admission* find(const std::string& name) const;

    /// Returns the target. A new one is unavailable until its row is applied.
    target_admission& find_or_add(const target_row& row);

    /// True if the target may be ejected: at most half of the available targets may be ejected at a
    /// time.
    [[nodiscard]] bool may_eject(const target_admission& target) const;

    /// True if some target is below its concurrency limit; `ahead` is the number of requests
    /// allowed beyond the slots of a warm target.
    [[nodiscard]] bool any_free(std::uint32_t ahead, time_point now) const;

    /// Total number of slots of all available warm targets.
    [[nodiscard]] std::uint32_t warm_slots() const;

    /// Earliest time after `now` at which a limit changes or a held place is released without an
    /// event.
    [[nodiscard]] std::optional<time_point> next_change(time_point now) const;

    [[nodiscard]] const target_list& all() const { return targets_; }

private:
    target_list targets_;
};

/// True if the table lets the target receive new requests.
[[nodiscard]] bool takes_new_work(const target_row& row, const table_snapshot& table);

} // namespace catkintally::core
