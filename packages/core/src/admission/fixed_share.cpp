#include <catkintally/core/admission/fixed_share.hpp>

#include <catkintally/core/admission/target_set.hpp>

#include <algorithm>

namespace catkintally::core
{

void fixed_share::apply(
    const service_config& config,
    const table_snapshot& table,
    std::size_t member,
    std::size_t member_count)
{
    shares_.clear();
    std::size_t slot = 0;
    for (const target_row& row : config.targets)
    {
        if (!takes_new_work(row, table))
        {
            // A target that returns is cold.
            answered_at_.erase(row.name);
            continue;
        }
        share own{.target = row.name};
        for (std::uint32_t number = 0; number < row.slots; ++number, ++slot)
        {
            if (member_count > 0 && slot % member_count == member)
            {
                ++own.own_slots;
                own.owns_first |= number == 0;
            }
        }
        if (own.own_slots > 0)
        {
            shares_.push_back(std::move(own));
        }
    }
    // A row that is gone and comes back names a cold target.
    std::erase_if(
        answered_at_,
        [&](const auto& entry)
        {
            return std::none_of(
                config.targets.begin(), config.targets.end(),
                [&](const target_row& row) { return row.name == entry.first; });
        });
}

void fixed_share::record_granted_answer(const std::string& target)
{
    answered_at_[target] = timers_->now();
}

std::optional<std::string>
fixed_share::take(request_id id, const std::vector<std::string>& excluded_targets)
{
    const bool any_warm = std::any_of(
        answered_at_.begin(), answered_at_.end(),
        [&](const auto& entry) { return believed_warm(entry.first); });
    const share* best = nullptr;
    double best_load = 0;
    for (const share& own : shares_)
    {
        std::uint32_t limit = 0;
        if (any_warm)
        {
            limit = believed_warm(own.target) ? own.own_slots : 0;
        }
        else
        {
            limit = own.owns_first ? 1 : 0;
        }
        const std::uint32_t in_use = used(own.target);
        const bool excluded =
            std::find(excluded_targets.begin(), excluded_targets.end(), own.target) !=
            excluded_targets.end();
        const double load = (in_use + 1.0) / own.own_slots;
        if (!excluded && in_use < limit && (!best || load < best_load))
        {
            best = &own;
            best_load = load;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    in_use_[id] = best->target;
    return best->target;
}

void fixed_share::release(request_id id)
{
    in_use_.erase(id);
}

bool fixed_share::believed_warm(const std::string& target) const
{
    const auto answered = answered_at_.find(target);
    return answered != answered_at_.end() && answered->second + warm_timeout > timers_->now();
}

std::uint32_t fixed_share::used(const std::string& target) const
{
    return static_cast<std::uint32_t>(std::count_if(
        in_use_.begin(), in_use_.end(), [&](const auto& entry) { return entry.second == target; }));
}

} // namespace catkintally::core
