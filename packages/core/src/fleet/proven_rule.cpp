#include <catkintally/core/fleet/proven_rule.hpp>

#include <catkintally/core/fleet/placement.hpp>

#include <algorithm>

namespace catkintally::core
{

bool record_set_proven(
    const view& current,
    std::string_view service,
    const complete_epochs& replies,
    const std::function<bool(std::uint64_t)>& expired)
{
    for (std::uint64_t epoch = current.epoch; epoch > 1;)
    {
        // Records of all epochs before `epoch` have passed their retention time.
        if (expired && expired(epoch))
        {
            return true;
        }
        --epoch;
        const std::vector<member>* members = current.members_of(epoch);
        if (members == nullptr)
        {
            return false;
        }
        const placement placed = place_service(service, *members);
        // An epoch without an active member granted nothing.
        bool replied = placed.owner == nullptr;
        for (const member* keeper : {placed.owner, placed.witness})
        {
            const auto reply = keeper == nullptr ? replies.end() : replies.find(keeper->id);
            if (reply == replies.end())
            {
                continue;
            }
            if (reply->second >= epoch)
            {
                return true;
            }
            replied = true;
        }
        if (!replied)
        {
            return false;
        }
    }
    return true;
}

} // namespace catkintally::core
