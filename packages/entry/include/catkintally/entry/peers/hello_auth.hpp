#pragma once

#include <catkintally/core/fleet/member.hpp>
#include <catkintally/wire/generated/messages.generated.hpp>

#include <cstdint>
#include <string>

namespace catkintally::entry
{

/// Version of the protocol between instances. Instances of different versions do not connect.
inline constexpr std::uint32_t peer_protocol_version = 3;

/// Builds the hello of `self` and authenticates it with the shared key; an empty key leaves the
/// authentication code empty. `peer_nonce` is the nonce of the
/// peer's hello, 0 in the first hello of a connection; it keeps a recorded hello from being
/// replayed.
[[nodiscard]] wire::hello_data make_hello(
    const core::member& self,
    const std::string& key,
    std::uint64_t nonce,
    std::uint64_t peer_nonce);

/// True if the hello names its sender and has the right authentication code. With an empty key
/// every code is accepted.
[[nodiscard]] bool
verify_hello(const wire::hello_data& hello, const std::string& key, std::uint64_t peer_nonce);

/// Sender as named in a hello, which must have one.
[[nodiscard]] core::member sender_of(const wire::hello_data& hello);

} // namespace catkintally::entry
