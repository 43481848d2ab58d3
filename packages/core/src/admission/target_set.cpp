#include <catkintally/core/admission/target_set.hpp>

#include <algorithm>

namespace catkintally::core
{

void target_set::remove_unlisted(const service_config& config, time_point now)
{
    const auto listed = [&](const std::string& name)
    {
        return std::any_of(
            config.targets.begin(), config.targets.end(),
            [&](const target_row& row) { return row.name == name; });
    };
    for (const auto& target : targets_)
    {
        if (!listed(target->row().name))
        {
            target->update(target->row(), false, now);
        }
    }
    std::erase_if(
        targets_, [&](const auto& target)
        { return !listed(target->row().name) && target->in_flight_requests().empty(); });
}

target_admission* target_set::find(const std::string& name) const
{
    const auto found = std::find_if(
        targets_.begin(), targets_.end(),
        [&](const auto& target) { return target->row().name == name; });
    return found == targets_.end() ? nullptr : found->get();
}

target_admission& target_set::find_or_add(const target_row& row)
{
    if (target_admission* known = find(row.name))
    {
        return *known;
    }
    return *targets_.emplace_back(std::make_unique<target_admission>(row));
}

bool target_set::may_eject(const target_admission& target) const
{
    std::size_t available = 0;
    std::size_t ejected = 0;
    for (const auto& other : targets_)
    {
        available += other->available() ? 1 : 0;
        const bool counts = other->available() && other->phase() == target_phase::ejected;
        ejected += counts && other.get() != &target ? 1 : 0;
    }
    return (ejected + 1) * 2 <= available;
}

bool target_set::any_free(std::uint32_t ahead, time_point now) const
{
    return std::any_of(
        targets_.begin(), targets_.end(),
        [&](const auto& target)
        { return target->accepts(now) && target->occupied(now) < target->limit(ahead, now); });
}

std::uint32_t target_set::warm_slots() const
{
    std::uint32_t slots = 0;
    for (const auto& target : targets_)
    {
        const bool warm = target->available() && target->phase() == target_phase::warm;
        slots += warm ? target->row().slots : 0;
    }
    return slots;
}

std::optional<time_point> target_set::next_change(time_point now) const
{
    std::optional<time_point> next;
    for (const auto& target : targets_)
    {
        if (const auto change = target->next_change(now))
        {
            next = std::min(next.value_or(*change), *change);
        }
    }
    return next;
}

bool takes_new_work(const target_row& row, const table_snapshot& table)
{
    return row.state == target_admin_state::in && row.weight > 0 && row.slots > 0 &&
           !table.is_domain_out(row.failure_domain);
}

} // namespace catkintally::core
