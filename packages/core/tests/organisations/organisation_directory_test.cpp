#include <catkintally/core/organisations/organisation_directory.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

namespace
{

std::string digest(char first)
{
    return std::string(32, first);
}

std::string owner(const organisation_directory& directory, const std::string& key_digest)
{
    const organisation_row* found = directory.find(key_digest);
    return found == nullptr ? "" : found->name;
}

} // namespace

// Guards against keys that stay valid after a change of the table, and against tables without
// organisations that require keys.
TEST_CASE("a directory finds the owner of a key in the table in force")
{
    organisation_directory directory;
    CHECK_FALSE(directory.requires_keys());
    CHECK(owner(directory, digest('a')).empty());
    CHECK_FALSE(directory.apply(std::nullopt));

    std::vector<organisation_row> rows = {
        {.name = "one", .key_digests = {digest('a'), digest('b')}, .priority = std::nullopt},
        {.name = "two", .key_digests = {digest('c'), digest('a')}, .priority = 1}};
    CHECK(directory.apply(rows));
    CHECK_FALSE(directory.apply(rows));
    CHECK(directory.requires_keys());
    CHECK(owner(directory, digest('a')) == "one");
    CHECK(owner(directory, digest('b')) == "one");
    CHECK(owner(directory, digest('c')) == "two");
    CHECK(owner(directory, digest('d')).empty());
    CHECK(owner(directory, "").empty());

    rows[0].key_digests = {digest('d')};
    rows.pop_back();
    CHECK(directory.apply(rows));
    CHECK(owner(directory, digest('a')).empty());
    CHECK(owner(directory, digest('c')).empty());
    CHECK(owner(directory, digest('d')) == "one");

    CHECK(directory.apply(std::vector<organisation_row>()));
    CHECK(directory.requires_keys());
    CHECK(owner(directory, digest('d')).empty());

    CHECK(directory.apply(std::nullopt));
    CHECK_FALSE(directory.requires_keys());
}
