#include <catkintally/core/fleet/placement.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

/// FNV-1a with a final mix. The function is part of the protocol: all versions must agree on it.
std::uint64_t rendezvous_score(std::string_view name, const member_id& id)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    const auto add = [&hash](std::string_view bytes)
    {
        for (const unsigned char byte : bytes)
        {
            hash = (hash ^ byte) * 0x100000001b3U;
        }
        hash = (hash ^ 0xffU) * 0x100000001b3U;
    };
    add(name);
    add(id.instance);
    add(std::to_string(id.incarnation));
    hash ^= hash >> 30U;
    hash *= 0xbf58476d1ce4e5b9U;
    hash ^= hash >> 27U;
    hash *= 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

} // namespace

std::vector<const member*>
rendezvous_order(std::string_view name, const std::vector<member>& members)
{
    std::vector<std::pair<std::uint64_t, const member*>> scored;
    scored.reserve(members.size());
    for (const member& entry : members)
    {
        scored.emplace_back(rendezvous_score(name, entry.id), &entry);
    }
    std::sort(
        scored.begin(), scored.end(),
        [](const auto& left, const auto& right)
        {
            return left.first != right.first ? left.first > right.first
                                             : left.second->id < right.second->id;
        });
    std::vector<const member*> order;
    order.reserve(scored.size());
    for (const auto& [score, entry] : scored)
    {
        order.push_back(entry);
    }
    return order;
}

placement place_service(std::string_view service, const std::vector<member>& members)
{
    placement placed;
    const member* same_domain = nullptr;
    for (const member* entry : rendezvous_order(service, members))
    {
        if (entry->leaving)
        {
            continue;
        }
        if (placed.owner == nullptr)
        {
            placed.owner = entry;
        }
        else if (entry->failure_domain != placed.owner->failure_domain)
        {
            placed.witness = entry;
            return placed;
        }
        else if (same_domain == nullptr)
        {
            same_domain = entry;
        }
    }
    placed.witness = same_domain;
    return placed;
}

} // namespace catkintally::core
