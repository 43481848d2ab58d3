#include "support/follower_fleet.hpp"
#include "support/platform_objects.hpp"

#include <catkintally/runtime/crypto/sha256.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// Configuration in which the organisation "one" has these keys.
std::string with_organisations(int version, const std::string& members)
{
    std::string text = configuration_json(version, "/a/");
    text.pop_back();
    return text + members + "}";
}

} // namespace

// Guards against tables without the organisations of the configuration, at the reader and at the
// instances that hear of it from others, and against an unreadable change that opens the routes.
TEST_CASE("organisations come into force with their configuration at every instance")
{
    follower_fleet fleet;
    fleet.store.put("config/main", configuration_json(1, "/a/"));
    auto& reader = fleet.add(true);
    auto& other = fleet.add(false);
    fleet.pass(2s);
    const auto first_digest = [](const follower_fleet::instance& at)
    {
        return at.table->organisations && !at.table->organisations->empty()
                   ? at.table->organisations->front().key_digests.at(0)
                   : std::string();
    };
    struct row
    {
        std::string members;
        bool keys_required;
        std::string digest;
    };
    const std::string one = R"(,"tenants":[{"name":"one","api-keys":[")";
    const std::vector<row> changes = {
        {one + R"(k1"]}])", true, runtime::sha256("k1")},
        {one + R"(k2"]},{"name":"two"}])", true, runtime::sha256("k2")},
        {R"(,"tenants":"none")", true, runtime::sha256("k2")},
        {R"(,"tenants":[])", true, ""},
        {"", false, ""}};
    int version = 1;
    for (const row& change : changes)
    {
        INFO(change.members);
        fleet.store.put("config/main", with_organisations(++version, change.members));
        fleet.pass(500ms);
        for (const auto* at : {&reader, &other})
        {
            REQUIRE(at->table);
            CHECK(at->table->organisations.has_value() == change.keys_required);
            CHECK(first_digest(*at) == change.digest);
        }
    }
}
