#pragma once

#include <cstdint>

namespace catkintally::core
{

enum class token_message_kind : std::uint8_t
{
    /// Asks for a token.
    ask,
    /// Hands over tokens in answer to an ask.
    give,
    /// Nobody on the way had one.
    none
};

/// Message between linked neighbours about tokens of an organisation's quota.
struct token_message
{
    token_message_kind kind = token_message_kind::ask;
    /// Hash of the organisation's name.
    std::uint32_t organisation = 0;
    /// Chosen by the instance that asked; repeated in the answer.
    std::uint64_t id = 0;
    /// Hash of the instance to which an ask is on its way.
    std::uint64_t holder = 0;
    /// Links that an ask may still take.
    std::uint8_t hops = 0;
    /// Tokens that are asked for or handed over.
    std::uint16_t tokens = 0;
};

} // namespace catkintally::core
