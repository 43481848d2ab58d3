#pragma once

#include <catkintally/core/fleet/view.hpp>

#include <functional>
#include <map>
#include <string_view>

namespace catkintally::core
{

/// Newest complete epoch that each answering member reported; silent members are absent.
using complete_epochs = std::map<member_id, std::uint64_t>;

/// True if every keyed grant of `service` that was issued before `current.epoch` is known to one of
/// the answering members. `expired` says that an epoch was adopted so long ago that the records of
/// all earlier epochs have passed their retention time; leave it empty if that is not known.
[[nodiscard]] bool record_set_proven(
    const view& current,
    std::string_view service,
    const complete_epochs& replies,
    const std::function<bool(std::uint64_t epoch)>& expired = {});

} // namespace catkintally::core
