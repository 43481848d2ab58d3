#include <catkintally/core/admission/grant_table.hpp>

#include <algorithm>

namespace catkintally::core
{

std::optional<request_id> grant_table::expired(time_point now) const
{
    const auto found = std::find_if(
        grants_.begin(), grants_.end(),
        [now](const auto& entry) { return entry.second.expires <= now; });
    return found == grants_.end() ? std::nullopt : std::optional(found->first);
}

std::optional<time_point> grant_table::next_expiry() const
{
    std::optional<time_point> next;
    for (const auto& [id, entry] : grants_)
    {
        next = std::min(next.value_or(entry.expires), entry.expires);
    }
    return next;
}

void grant_table::record_target_crash(
    const std::string& target, crashing_request_detector& detector, time_point now)
{
    for (auto& [id, entry] : grants_)
    {
        if (entry.target == target && !entry.crash_counted)
        {
            entry.crash_counted = true;
            detector.crashed(entry.fingerprint, entry.key, target, entry.number, added_, now);
        }
    }
}

} // namespace catkintally::core
