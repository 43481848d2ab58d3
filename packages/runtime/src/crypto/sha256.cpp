#include <catkintally/runtime/crypto/sha256.hpp>

#include <openssl/sha.h>

namespace catkintally::runtime
{

std::string sha256(std::string_view text)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(
        reinterpret_cast<const unsigned char*>(text.data()), text.size(),
        reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

} // namespace catkintally::runtime
