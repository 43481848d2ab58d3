#pragma once

#include <catkintally/entry/table/object_mirror.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

namespace catkintally::entry
{

/// An update as it is sent to other instances.
[[nodiscard]] wire::payloadUnion to_message(const object_update& update);

/// Reverses to_message().
[[nodiscard]] object_update to_update(const wire::news_update_data& data);

/// False for an update that no instance sends: without a version, with everything and yet relative
/// to what is known, or with objects of another kind.
[[nodiscard]] bool is_well_formed(const object_update& update);

} // namespace catkintally::entry
