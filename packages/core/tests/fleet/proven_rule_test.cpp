#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/core/fleet/proven_rule.hpp>
#include <catkintally/core/fleet/view_codec.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

namespace
{

member make_member(const std::string& name, const std::string& domain)
{
    return {
        .id = {.instance = name, .incarnation = 1},
        .failure_domain = domain,
        .peer_address = "127.0.0.1:1",
        .leaving = false};
}

/// A view in epoch 4 whose earlier epochs all had the same four members.
view view_at_four(std::size_t history_length = 3)
{
    view current;
    current.members = {
        make_member("i0", "a"), make_member("i1", "a"), make_member("i2", "b"),
        make_member("i3", "b")};
    current.epoch = 1;
    while (current.epoch < 4)
    {
        current = current.successor(current.members);
    }
    current.history.resize(history_length);
    return current;
}

} // namespace

// Guards against a key that is taken for new although a lost member granted it (runs twice), and
// against a fleet that refuses orders although its records are complete.
TEST_CASE("the record set is proven only by a keeper of the newest epoch with keyed grants")
{
    const view current = view_at_four();
    const placement keepers = place_service("desk", current.members);
    REQUIRE(keepers.owner != nullptr);
    REQUIRE(keepers.witness != nullptr);
    CHECK(keepers.owner->failure_domain != keepers.witness->failure_domain);
    const member_id owner = keepers.owner->id;
    const member_id witness = keepers.witness->id;
    member_id bystander;
    for (const member& entry : current.members)
    {
        if (entry.id != owner && entry.id != witness)
        {
            bystander = entry.id;
        }
    }

    struct row
    {
        const char* name;
        complete_epochs replies;
        std::size_t history;
        bool proven;
    };
    const std::vector<row> rows{
        {"owner was complete", {{owner, 3}}, 3, true},
        {"witness was complete", {{witness, 3}}, 3, true},
        {"both silent", {}, 3, false},
        {"a bystander proves nothing", {{bystander, 3}}, 3, false},
        {"never complete in 3, complete in 2", {{owner, 2}}, 3, true},
        {"never complete at all, back to epoch 1", {{owner, 0}}, 3, true},
        {"never complete, history too short", {{owner, 0}}, 2, false},
        {"complete in 2, history reaches 2", {{witness, 2}}, 2, true},
        {"complete in 2, history too short", {{witness, 2}}, 1, false},
        {"one complete, one not", {{owner, 0}, {witness, 3}}, 3, true},
        {"no history", {{owner, 3}}, 0, false},
    };
    for (const row& test : rows)
    {
        INFO(test.name);
        CHECK(record_set_proven(view_at_four(test.history), "desk", test.replies) == test.proven);
    }
    CHECK(record_set_proven(
        view_at_four(0), "desk", {}, [](std::uint64_t epoch) { return epoch == 4; }));

    view first;
    first.epoch = 1;
    first.members = current.members;
    CHECK(record_set_proven(first, "desk", {}));
}

// Guards against a view that the store returns damaged and that would take members away.
TEST_CASE("views survive the codec and damaged views are refused")
{
    const view current = view_at_four();
    CHECK(decode_view(encode_view(current)) == current);
    const std::string good = encode_view(current);
    for (const std::string& bad :
         {std::string(), std::string("{}"), std::string("[]"), good.substr(0, good.size() / 2),
          std::string(R"({"epoch":0,"members":[],"history":[]})"),
          std::string(R"({"epoch":5,"members":[],"history":[{"epoch":3,"members":[]}]})"),
          std::string(R"({"epoch":-1,"members":[],"history":[]})")})
    {
        INFO(bad);
        CHECK_FALSE(decode_view(bad));
    }
    view long_lived = current;
    for (int i = 0; i < 40; ++i)
    {
        long_lived = long_lived.successor(long_lived.members);
    }
    CHECK(long_lived.epoch == 44);
    CHECK(long_lived.history.size() == view_history_epochs);
    CHECK(decode_view(encode_view(long_lived)) == long_lived);
}
