#include <catkintally/core/fleet/fixed_share.hpp>

#include <catkintally/core/admission/target_set.hpp>

#include <algorithm>

namespace catkintally::core
{

const target_row* choose_fixed_share(const fixed_share_input& input)
{
    // Position of this instance among the active members.
    std::size_t count = 0;
    std::optional<std::size_t> position;
    for (const member& entry : input.current->members)
    {
        if (!entry.leaving)
        {
            if (entry.id == input.self)
            {
                position = count;
            }
            ++count;
        }
    }
    if (!position)
    {
        return nullptr;
    }

    // Walk all slots in table order and keep the best target of each kind.
    const target_row* best_warm = nullptr;
    std::uint32_t best_in_use = 0;
    const target_row* cold = nullptr;
    bool any_warm = false;
    std::size_t slot_number = 0;
    for (const target_row& target : input.service->targets)
    {
        if (!takes_new_work(target, *input.table))
        {
            continue;
        }
        std::uint32_t own = 0;
        bool owns_first = false;
        for (std::uint32_t slot = 0; slot < target.slots; ++slot, ++slot_number)
        {
            if (slot_number % count == *position)
            {
                ++own;
                owns_first = owns_first || slot == 0;
            }
        }
        const bool warm = input.assumed_warm(target.name);
        any_warm = any_warm || warm;
        if (std::find(input.excluded.begin(), input.excluded.end(), target.name) !=
            input.excluded.end())
        {
            continue;
        }
        const std::uint32_t in_use = input.in_use(target.name);
        if (warm && in_use < own && (best_warm == nullptr || in_use < best_in_use))
        {
            best_warm = &target;
            best_in_use = in_use;
        }
        if (cold == nullptr && owns_first && in_use == 0)
        {
            cold = &target;
        }
    }
    if (any_warm)
    {
        return best_warm;
    }
    return input.cold_allowed ? cold : nullptr;
}

} // namespace catkintally::core
