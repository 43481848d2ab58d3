#pragma once

#include <catkintally/entry/table/object_mirror.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

namespace catkintally::entry
{

/// An update as it is sent to other instances.
[[nodiscard]] wire::payloadUnion to_message(const object_update& update);

/// Reverses to_message().
[[nodiscard]] object_update to_update(const wire::news_update_data& data);

} // namespace catkintally::entry
