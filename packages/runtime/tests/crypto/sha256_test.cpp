#include <catkintally/runtime/crypto/sha256.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::runtime;

// Guards against keys that another version of the program reads otherwise: the values are those of
// FIPS 180-2.
TEST_CASE("SHA-256 digests are those of the standard")
{
    CHECK(sha256("").substr(0, 4) == "\xe3\xb0\xc4\x42");
    CHECK(sha256("abc").substr(0, 4) == "\xba\x78\x16\xbf");
    CHECK(sha256("abc").size() == 32);
}
