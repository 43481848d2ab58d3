#pragma once

#include <catkintally/wire/generated/messages.generated.hpp>

#include <utility>

namespace catkintally::wire
{

/// Wraps the data of one message for an envelope.
template <typename Data>
[[nodiscard]] payloadUnion make_message(Data data)
{
    payloadUnion message;
    message.Set(std::move(data));
    return message;
}

} // namespace catkintally::wire
