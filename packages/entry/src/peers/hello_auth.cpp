#include <catkintally/entry/peers/hello_auth.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace catkintally::entry
{

namespace
{

using mac_bytes = std::array<std::uint8_t, 32>;

void append(std::string& text, std::uint64_t number)
{
    for (int i = 0; i < 8; ++i)
    {
        text.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
    }
}

/// A length prefix delimits the field, so that different field values never give the same
/// authenticated text.
void append(std::string& text, const std::string& field)
{
    append(text, field.size());
    text += field;
}

/// HMAC-SHA-256 over the hello's version, sender (without its `leaving` flag) and nonce, and over
/// the peer's nonce.
mac_bytes mac_of(const wire::hello_data& hello, const std::string& key, std::uint64_t peer_nonce)
{
    std::string text;
    append(text, hello.version);
    append(text, hello.sender->instance);
    append(text, hello.sender->incarnation);
    append(text, hello.sender->failure_domain);
    append(text, hello.sender->peer_address);
    append(text, hello.nonce);
    append(text, peer_nonce);
    mac_bytes mac{};
    unsigned size = mac.size();
    HMAC(
        EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac.data(), &size);
    return mac;
}

} // namespace

wire::hello_data make_hello(
    const core::member& self, const std::string& key, std::uint64_t nonce, std::uint64_t peer_nonce)
{
    wire::hello_data hello;
    hello.version = peer_protocol_version;
    hello.nonce = nonce;
    hello.sender = std::make_unique<wire::member_info_data>();
    hello.sender->instance = self.id.instance;
    hello.sender->incarnation = self.id.incarnation;
    hello.sender->failure_domain = self.failure_domain;
    hello.sender->peer_address = self.peer_address;
    hello.sender->leaving = self.leaving;
    if (!key.empty())
    {
        const mac_bytes mac = mac_of(hello, key, peer_nonce);
        hello.mac.assign(mac.begin(), mac.end());
    }
    return hello;
}

bool verify_hello(const wire::hello_data& hello, const std::string& key, std::uint64_t peer_nonce)
{
    if (!hello.sender || hello.sender->instance.empty())
    {
        return false;
    }
    if (key.empty())
    {
        return true;
    }
    const mac_bytes expected = mac_of(hello, key, peer_nonce);
    return hello.mac.size() == expected.size() &&
           CRYPTO_memcmp(hello.mac.data(), expected.data(), expected.size()) == 0;
}

core::member sender_of(const wire::hello_data& hello)
{
    return {
        .id = {.instance = hello.sender->instance, .incarnation = hello.sender->incarnation},
        .failure_domain = hello.sender->failure_domain,
        .peer_address = hello.sender->peer_address,
        .leaving = hello.sender->leaving};
}

} // namespace catkintally::entry
