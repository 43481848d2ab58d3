#pragma once

#include <catkintally/core/fleet/member.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <cstdint>
#include <string>

namespace catkintally::entry
{

/// Version of the protocol between instances. Instances of different versions do not connect.
inline constexpr std::uint32_t peer_protocol_version = 2;

/// Builds a hello of `self`, authenticated with the shared key. `peer_nonce` is the nonce of the
/// peer's hello, 0 in the first hello of a connection; it keeps a recorded hello from being
/// replayed.
[[nodiscard]] wire::hello_data make_hello(
    const core::member& self,
    const std::string& key,
    std::uint64_t nonce,
    std::uint64_t peer_nonce);

/// True if the hello is complete and its authentication code fits. An empty key accepts every code.
[[nodiscard]] bool
verify_hello(const wire::hello_data& hello, const std::string& key, std::uint64_t peer_nonce);

/// Sender that a hello names.
[[nodiscard]] core::member sender_of(const wire::hello_data& hello);

} // namespace catkintally::entry
