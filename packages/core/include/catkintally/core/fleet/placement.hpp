#pragma once

#include <catkintally/core/fleet/view.hpp>

#include <string_view>
#include <vector>

namespace catkintally::core
{

/// Members in descending rendezvous score of `name`. All instances compute the same order.
[[nodiscard]] std::vector<const member*>
rendezvous_order(std::string_view name, const std::vector<member>& members);

/// Owner and witness of a service among the given members; nullptr where there is none.
struct placement
{
    const member* owner = nullptr;
    const member* witness = nullptr;
};

/// Owner: the active member with the highest score. Witness: the next active member of another
/// failure domain, or of any domain if all active members share one.
[[nodiscard]] placement place_service(std::string_view service, const std::vector<member>& members);

} // namespace catkintally::core
