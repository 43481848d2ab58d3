#include "support/follower_fleet.hpp"
#include "support/platform_objects.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// Three instances, one of which reads the store; configuration 3 and one target are in force, and
/// the copy holds them.
struct restored_fixture : follower_fleet
{
    restored_fixture()
    {
        configure(3);
        store.put("servers/old", target_json("ready", 1));
        add(true);
        add(false);
        add(false);
        // Longer than the pause between two watches of the targets.
        pass(400ms);
        store.objects.save_copy();
    }

    void configure(int version)
    {
        store.put("config/main", configuration_json(version, "/" + std::to_string(version) + "/"));
    }

    [[nodiscard]] bool all(const std::function<bool(const instance&)>& condition) const
    {
        return std::all_of(
            instances.begin(), instances.end(), [&](const auto& each) { return condition(*each); });
    }

    [[nodiscard]] bool all_at(std::uint64_t version) const
    {
        return all(
            [&](const instance& each)
            {
                return each.follower->version() == version &&
                       each.table->routes.at(0).path_prefix == "/" + std::to_string(version) + "/";
            });
    }

    /// State of the target at all instances, '?' if they differ.
    [[nodiscard]] char target_state(const std::string& target) const
    {
        const char first = instances.front()->target_state(target);
        return all([&](const instance& each) { return each.target_state(target) == first; }) ? first
                                                                                             : '?';
    }

    /// Equal digests mean equal objects; versions may differ.
    [[nodiscard]] bool same_states() const
    {
        const auto first = instances.front()->follower->states();
        return all(
            [&](const instance& each)
            {
                const auto states = each.follower->states();
                return std::equal(
                    first.begin(), first.end(), states.begin(), states.end(),
                    [](const auto& a, const auto& b)
                    {
                        return a.first == b.first && a.second.era == b.second.era &&
                               a.second.digest == b.second.digest;
                    });
            });
    }

    [[nodiscard]] bool all_in_era(std::uint64_t era) const
    {
        return all([&](const instance& each)
                   { return each.follower->era() && each.follower->era()->era == era; });
    }

    /// No instance ever replaced a configuration by an older one.
    [[nodiscard]] bool none_went_back() const
    {
        return all([](const instance& each)
                   { return std::is_sorted(each.applied.begin(), each.applied.end()); });
    }
};

} // namespace

// Guards against a configuration that is acknowledged after the store's return and does not come
// into force, because its version is lower than the one known before: on the test bench it was not
// served to the end of the day.
TEST_CASE("a change written after the store returned from a copy is in force everywhere")
{
    restored_fixture fixture;
    for (int version = 4; version < 8; ++version)
    {
        fixture.configure(version);
    }
    fixture.pass(100ms);
    REQUIRE(fixture.all_at(7));
    const auto lost_version = fixture.store.objects.version();
    fixture.drill();
    fixture.pass(1s);
    fixture.configure(8);
    REQUIRE(fixture.store.objects.version() < lost_version);
    fixture.pass(20ms);
    CHECK(fixture.all_at(8));
    CHECK(fixture.same_states());
    CHECK(fixture.all_in_era(2));
    CHECK(fixture.instances[2]->follower->era()->reader == "i1");
}

// Guards against an older configuration that comes back into force, and routes that are lost, from
// the store's return until the operator has written again.
TEST_CASE("a configuration that the copy lacks stays in force")
{
    restored_fixture fixture;
    fixture.configure(5);
    fixture.configure(6);
    fixture.pass(100ms);
    fixture.drill();
    fixture.pass(3s);
    CHECK(fixture.all_at(6));
    fixture.configure(5);
    fixture.pass(100ms);
    CHECK(fixture.all_at(6));
    fixture.configure(6);
    fixture.pass(100ms);
    CHECK(fixture.all_at(6));
    fixture.configure(7);
    fixture.pass(100ms);
    CHECK(fixture.all_at(7));
    CHECK(fixture.none_went_back());
    CHECK(fixture.same_states());
}

// Guards against an object that is taken for a lost one because the store has given its version out
// again, by readers, by their neighbours, and by an instance that missed the return.
TEST_CASE("a version that is assigned a second time is not taken for the lost one")
{
    restored_fixture fixture;
    const bool late_neighbour = GENERATE(false, true);
    fixture.store.put("servers/lost", target_json("ready", 1, "10.0.0.7:80"));
    fixture.store.put("evacuations/d9", "{}");
    fixture.pass(500ms);
    REQUIRE(fixture.target_state("lost") == 'i');
    const auto lost = fixture.instances[2]->follower->states();
    fixture.set_linked(*fixture.instances[2], !late_neighbour);

    fixture.drill();
    fixture.store.put("servers/other", target_json("ready", 1, "10.0.0.8:80"));
    fixture.store.put("evacuations/d8", "{}");
    REQUIRE(fixture.store.objects.version_of("evacuations/d8") == lost.at("evacuations/").version);
    fixture.pass(1s);
    fixture.set_linked(*fixture.instances[2], true);
    fixture.pass(1s);
    CHECK(fixture.target_state("other") == 'i');
    CHECK(fixture.all([](const auto& each) { return each.table->is_domain_out("d8"); }));
    CHECK(fixture.same_states());
    CHECK(
        fixture.instances[2]->follower->states().at("servers/").digest !=
        lost.at("servers/").digest);
    fixture.pass(3s);
    CHECK(fixture.target_state("lost") == '-');
    CHECK(fixture.target_state("other") == 'i');
}

// Guards against requests to a target that has left, which the copy still lists, and against
// targets that are dropped or kept although the copy cannot know them.
TEST_CASE("targets that the copy does not know as they are")
{
    struct row
    {
        const char* name;
        /// State before the loss, '-' for a removed entry, and how long before it.
        const char* before;
        core::duration before_loss;
        /// Written 1 s after the return, nothing if empty.
        const char* rewritten;
        /// State right after the return, and 2.5 s later.
        char returned;
        char later;
    };
    const std::vector<row> rows = {
        {"a target that drains", "draining", 1s, "draining", 'd', 'd'},
        {"a target that drains and does not write again", "draining", 1s, "", 'd', 'd'},
        {"a target whose entry was removed", "removed", 2s, "", '-', '-'},
        {"a target whose entry was removed just before", "removed", 200ms, "", '-', '-'},
        {"a removed target that starts again", "removed", 2s, "ready", '-', 'i'},
        {"a target that drained and was removed", "drained", 2s, "", '-', '-'}};
    for (const row& each : rows)
    {
        INFO(each.name);
        restored_fixture fixture;
        if (std::string(each.before) != "removed")
        {
            fixture.store.put("servers/old", target_json("draining", 2));
            fixture.pass(400ms);
        }
        if (std::string(each.before) != "draining")
        {
            fixture.store.remove("servers/old");
        }
        fixture.pass(each.before_loss);
        fixture.drill(100ms);
        fixture.pass(500ms);
        CHECK(fixture.target_state("old") == each.returned);
        fixture.pass(500ms);
        if (*each.rewritten != '\0')
        {
            fixture.store.put("servers/old", target_json(each.rewritten, 3));
        }
        fixture.pass(1500ms);
        CHECK(fixture.target_state("old") == each.later);
        CHECK(fixture.same_states());
    }
}

// Guards against targets that get no requests after the store's return, because they registered
// after the copy was made, and against those that stay in use though they have left meanwhile.
TEST_CASE("a target that the copy lacks is used for two seconds, or on if it registers again")
{
    const bool registers = GENERATE(false, true);
    restored_fixture fixture;
    fixture.store.put("servers/new", target_json("ready", 1));
    fixture.pass(400ms);
    REQUIRE(fixture.target_state("new") == 'i');
    fixture.drill();
    for (int step = 0; step < 19; ++step)
    {
        fixture.pass(100ms);
        CHECK(fixture.target_state("new") == 'i');
    }
    if (registers)
    {
        // The same numbers as before the loss.
        fixture.store.put("servers/new", target_json("ready", 1));
    }
    fixture.pass(1s);
    CHECK(fixture.target_state("new") == (registers ? 'i' : '-'));
    CHECK(fixture.target_state("old") == 'i');
}

// Guards against requests to a failure domain that operators took out before the loss, and against
// a domain without requests because the copy still has it out.
TEST_CASE("evacuations that the copy does not know as they are")
{
    struct row
    {
        const char* name;
        bool in_copy;
        bool out_before_loss;
        /// The operator puts the domain in this state again, 1 s after the return.
        bool written_again;
        bool later;
    };
    const std::vector<row> rows = {
        {"acknowledged since the copy, and written again", false, true, true, true},
        {"acknowledged since the copy, and not written again", false, true, false, false},
        {"ended since the copy, and ended again", true, false, true, false},
        {"ended since the copy, and not ended again", true, false, false, true}};
    for (const row& each : rows)
    {
        INFO(each.name);
        restored_fixture fixture;
        const auto set_out = [&](bool out)
        {
            if (out)
            {
                fixture.store.put("evacuations/d1", "{}");
            }
            else
            {
                fixture.store.remove("evacuations/d1");
            }
            fixture.pass(100ms);
        };
        const auto all_out = [&](bool out)
        {
            return fixture.all([&](const auto& instance)
                               { return instance.table->is_domain_out("d1") == out; });
        };
        if (each.in_copy)
        {
            set_out(true);
            fixture.store.objects.save_copy();
        }
        set_out(each.out_before_loss);
        REQUIRE(all_out(each.out_before_loss));
        fixture.drill();
        for (int step = 0; step < 10; ++step)
        {
            fixture.pass(100ms);
            CHECK(all_out(each.out_before_loss));
        }
        if (each.written_again)
        {
            set_out(each.out_before_loss);
        }
        fixture.pass(2s);
        CHECK(all_out(each.later));
        // Later changes come into force at once.
        set_out(!each.later);
        CHECK(all_out(!each.later));
    }
}

// Guards against an instance that takes an outdated configuration from the store's copy or from
// neighbours that have not heard of the return, and against one that stays in the lost era.
TEST_CASE("an instance that starts or is cut off during the drill gets the newest configuration")
{
    restored_fixture fixture;
    fixture.configure(6);
    fixture.pass(100ms);
    auto& cut = *fixture.instances[2];

    SECTION("it starts and reads the copy before it hears from others")
    {
        fixture.drill();
        fixture.pass(200ms);
        auto& started = fixture.add(true);
        fixture.pass(100ms);
        CHECK(started.follower->version() == 6);
    }
    SECTION("it reads the copy first, and the others hear of the return from it")
    {
        fixture.instances[0]->client.cut = true;
        fixture.drill();
        auto& started = fixture.add(true);
        started.linked = false;
        fixture.pass(200ms);
        CHECK(started.follower->version() == 3);
        fixture.set_linked(started, true);
        fixture.pass(50ms);
        CHECK(started.follower->version() == 6);
        CHECK(fixture.instances[1]->follower->era()->reader == "i4");
        fixture.instances[0]->client.cut = false;
    }
    SECTION("it starts beside a neighbour that has not heard of the return")
    {
        fixture.set_linked(cut, false);
        fixture.drill();
        fixture.pass(100ms);
        for (const std::size_t other : {0U, 1U})
        {
            fixture.instances[other]->linked = false;
        }
        cut.linked = true;
        fixture.add(false);
        fixture.pass(100ms);
        CHECK(fixture.instances[3]->follower->version() == 6);
        CHECK(fixture.instances[3]->follower->era()->era == 1);
        for (const std::size_t other : {0U, 1U})
        {
            fixture.set_linked(*fixture.instances[other], true);
        }
    }
    SECTION("it is cut off from all during the drill and reads the store itself")
    {
        cut.linked = false;
        cut.client.cut = true;
        cut.follower->set_reading(true);
        fixture.drill();
        fixture.pass(2s);
        cut.client.cut = false;
        fixture.pass(1s);
        CHECK(cut.follower->era()->era == 2);
        fixture.set_linked(cut, true);
    }
    fixture.pass(1s);
    CHECK(fixture.all_at(6));
    fixture.configure(7);
    fixture.pass(100ms);
    CHECK(fixture.all_at(7));
    CHECK(fixture.all_in_era(2));
    CHECK(fixture.same_states());
    CHECK(fixture.none_went_back());
}

// Guards against changes that do not come into force because the answers name no era, or an earlier
// one.
TEST_CASE("an unusable era in the answers costs no change")
{
    restored_fixture fixture;
    const auto named = GENERATE(std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0));
    fixture.drill();
    fixture.pass(1s);
    fixture.store.named_era = named;
    for (int version = 4; version < 8; ++version)
    {
        fixture.configure(version);
        fixture.pass(50ms);
        CHECK(fixture.all_at(static_cast<std::uint64_t>(version)));
    }
    fixture.store.named_era.reset();
    fixture.drill();
    fixture.configure(8);
    fixture.pass(500ms);
    CHECK(fixture.all_at(8));
    CHECK(fixture.all_in_era(3));
}

// Guards against a burst of calls when the era changes: only readers may call.
TEST_CASE("few calls are made when the store returns from a copy")
{
    const std::size_t instances = GENERATE(3U, 13U, 127U);
    restored_fixture fixture;
    while (fixture.instances.size() < instances)
    {
        fixture.add(fixture.instances.size() == 1);
    }
    fixture.pass(200ms);
    fixture.store.objects.return_from_copy();
    fixture.configure(4);
    const auto before = fixture.store.calls;
    fixture.pass(1s);
    CHECK(fixture.all_at(4));
    // Two readers: for each of three kinds the watch that shows the era, a list and a new watch.
    CHECK(fixture.store.calls - before <= 18U);
}

// Guards against any order of drills, outages, cuts, starts and changes after which an instance has
// gone back to an older configuration, or does not hold what the store holds.
TEST_CASE("drills overlap with changes, outages, cuts and starts")
{
    const std::uint32_t seed = GENERATE(range(1U, 200U));
    INFO("seed " << seed);
    std::mt19937 random(seed);
    restored_fixture fixture;
    fixture.instances[1]->follower->set_reading(true);
    int version = 3;
    for (int step = 0; step < 30; ++step)
    {
        auto& any = *fixture.instances[random() % fixture.instances.size()];
        const std::string target = "servers/t" + std::to_string(random() % 4);
        switch (random() % 11)
        {
        case 0:
            fixture.store.objects.save_copy();
            break;
        case 1:
            fixture.drill(std::chrono::milliseconds(random() % 800));
            break;
        case 2:
            fixture.store.go_away();
            break;
        case 3:
            fixture.store.away = false;
            break;
        case 4:
            any.client.cut = !any.client.cut;
            break;
        case 5:
            fixture.set_linked(any, !any.linked);
            break;
        case 6:
            if (fixture.instances.size() < 6)
            {
                fixture.add(random() % 2 == 0);
            }
            break;
        case 7:
            fixture.store.objects.forget_history();
            break;
        case 8:
            fixture.store.put(target, target_json("ready", step + 1));
            break;
        case 9:
            fixture.store.remove(target);
            break;
        default:
            fixture.configure(version = std::min(version + 1, 8));
            break;
        }
        fixture.pass(std::chrono::milliseconds(random() % 400));
    }
    fixture.store.away = false;
    for (const auto& each : fixture.instances)
    {
        each->client.cut = false;
        each->linked = true;
    }
    fixture.exchange_states();
    fixture.configure(9);
    fixture.store.put("servers/old", target_json("ready", 100));
    fixture.pass(1s);
    CHECK(fixture.all_at(9));
    fixture.pass(3s);
    for (const auto& each : fixture.instances)
    {
        for (const auto& [prefix, state] : each->follower->states())
        {
            UNSCOPED_INFO(
                each->name << ' ' << prefix << " era " << state.era << " version " << state.version
                           << " content " << state.content << " digest " << state.digest);
        }
    }
    CHECK(fixture.same_states());
    CHECK(fixture.none_went_back());
    for (const char* name : {"t0", "t1", "t2", "t3", "old"})
    {
        const bool stored = fixture.store.objects.version_of(std::string("servers/") + name) != 0;
        CHECK((stored || fixture.target_state(name) == '-'));
    }
}
