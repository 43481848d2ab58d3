#include <catkintally/entry/table/configuration_follower.hpp>
#include <catkintally/platform/store/http_object_store.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/runtime/time/run_until.hpp>

#include "platform_support/odd_entries.hpp"
#include "platform_support/raw_store.hpp"
#include "support/follower_fleet.hpp"
#include "support/platform_objects.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;
using platform::entry_text;
using platform::nested;
using platform::odd_text;
using platform::replaced;

namespace
{

/// A change of one entry, with the entry's whole text.
struct raw_change
{
    std::string kind;
    std::uint64_t version = 0;
    std::string text;
    bool deleted = false;
};

/// A store whose entries may hold any bytes, and a follower that reads it.
struct raw_follower
{
    raw_follower()
    {
        list("config", {entry_text("main", 1, configuration_json(1, "/one/"))});
        list("servers", {entry_text("a", 2, target_json("ready", 1, "10.0.0.1:80"))});
    }

    void list(const std::string& kind, std::vector<std::string> texts)
    {
        listed[kind] = std::move(texts);
    }

    /// Adds a change that the next watch shows; the last one if `shown`.
    void change(
        const std::string& kind, const std::string& text, bool deleted = false, bool shown = true)
    {
        changes.push_back({.kind = kind, .version = ++version, .text = text, .deleted = deleted});
        shown_version = shown ? version : shown_version;
    }

    platform::raw_answer answer(const std::string& target)
    {
        const std::string path = "/v1/objects/";
        const auto query = std::min(target.find('?'), target.size());
        const std::string kind = target.substr(path.size(), query - path.size());
        const auto watch = target.find("watch=");
        if (watch == std::string::npos)
        {
            return {.body = platform::list_text(listed[kind], shown_version)};
        }
        const std::uint64_t from = std::stoull(target.substr(watch + 6));
        std::vector<std::pair<std::string, bool>> events;
        for (const raw_change& each : changes)
        {
            if (each.kind == kind && each.version > from && each.version <= shown_version)
            {
                events.emplace_back(each.text, each.deleted);
            }
        }
        const auto delay = events.empty() ? 20ms : 0ms;
        return {.body = platform::events_text(events, shown_version), .delay = delay};
    }

    /// Names of the targets in use.
    std::set<std::string> targets() const
    {
        std::set<std::string> names;
        for (const auto& each : table->services.at("desk").targets)
        {
            names.insert(each.name);
        }
        return names;
    }

    bool reach(const std::function<bool()>& condition)
    {
        return runtime::run_until(
            loop, timers, [&] { return table && condition(); }, 20s);
    }

    bool reach_targets(const std::set<std::string>& expected)
    {
        const bool reached = reach([&] { return targets() == expected; });
        INFO("targets: " << (table ? Catch::Detail::stringify(targets()) : "none"));
        CHECK(reached);
        return reached;
    }

    std::map<std::string, std::vector<std::string>> listed;
    std::vector<raw_change> changes;
    std::uint64_t version = 10;
    std::uint64_t shown_version = 10;
    std::shared_ptr<const core::table_snapshot> table;
    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    platform::raw_store store{
        loop, timers, [this](const std::string& target) { return answer(target); }};
    platform::platform_api api{
        loop,
        timers,
        {.addresses = {{.host = "127.0.0.1", .port = store.port()}}, .reads_per_s = 0}};
    platform::http_object_store client{api, {.watch_wait = 300ms}};
    configuration_follower follower{
        {.store = &client,
         .long_watch_store = &client,
         .timers = &timers,
         .back_off = {.first = 20ms, .limit = 50ms, .seed = 1},
         .publish = [this](auto published) { table = std::move(published); }}};
};

/// Every odd entry of a target, each under a name of its own.
std::vector<odd_text> odd_targets(std::uint64_t version)
{
    std::vector<odd_text> all;
    for (const odd_text& each : platform::odd_target_values())
    {
        const std::string name = "odd" + std::to_string(all.size());
        all.push_back({name + ": " + each.what, entry_text(name, version, each.text)});
    }
    for (const odd_text& each : platform::odd_entry_texts("x"))
    {
        const std::string name = "odd" + std::to_string(all.size());
        std::string text = each.text;
        if (const auto at = text.find(R"("name":"x")"); at != std::string::npos)
        {
            text.replace(at, 10, R"("name":")" + name + '"');
        }
        all.push_back({name + ": " + each.what, text});
    }
    return all;
}

std::string good(const std::string& name, std::uint64_t version, int sequence = 1)
{
    return entry_text(
        name, version,
        target_json("ready", sequence, "10.0.0." + std::to_string(name.back()) + ":80"));
}

} // namespace

// Guards against readers that lose the store, and with it all targets and configurations, for as
// long as another writer's entry stands among the targets.
TEST_CASE("targets are followed beside every odd entry of a list")
{
    raw_follower fixture;
    std::vector<std::string> texts = {good("a", 2)};
    std::string names;
    for (const odd_text& each : odd_targets(3))
    {
        texts.push_back(each.text);
        names += each.what + '\n';
    }
    INFO(names);
    texts.push_back(good("z", 4));
    fixture.list("servers", texts);
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach_targets({"a", "z"}));
    CHECK(fixture.follower.is_in_contact());

    fixture.change("servers", good("m", 11));
    fixture.change("config", entry_text("main", 12, configuration_json(2, "/two/")));
    REQUIRE(fixture.reach_targets({"a", "m", "z"}));
    CHECK(fixture.reach([&] { return fixture.follower.version() == 2; }));
    fixture.change("servers", good("a", 13), true);
    CHECK(fixture.reach_targets({"m", "z"}));
}

// Guards against the same in a watch.
TEST_CASE("targets are followed beside every odd entry of a watch")
{
    raw_follower fixture;
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach_targets({"a"}));
    std::string names;
    for (const odd_text& each : odd_targets(11))
    {
        fixture.change("servers", each.text, false, false);
        names += each.what + '\n';
    }
    INFO(names);
    const std::uint64_t version = fixture.version + 1;
    fixture.change("servers", good("z", version));
    REQUIRE(fixture.reach_targets({"a", "z"}));
    CHECK(fixture.follower.is_in_contact());

    for (const odd_text& each : odd_targets(version))
    {
        fixture.change("servers", each.text, true, false);
    }
    fixture.change("servers", good("y", fixture.version + 1));
    CHECK(fixture.reach_targets({"a", "y", "z"}));
}

// Guards against an odd entry that is decoded and logged again at every change of another one, and
// against one that is not counted.
TEST_CASE("an odd entry is counted once for each version")
{
    raw_follower fixture;
    fixture.list(
        "servers",
        {good("a", 2), entry_text("odd", 3, nested(1'000)), entry_text("other", 3, "1e400"), "7",
         R"({"metadata":{"name":"half"},"spec":{}})"});
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach_targets({"a"}));
    CHECK(fixture.follower.refused_count() == 4);
    fixture.change("servers", good("b", 11));
    REQUIRE(fixture.reach_targets({"a", "b"}));
    fixture.change("servers", entry_text("odd", 12, nested(1'000)), false, false);
    fixture.change("servers", good("c", 13));
    REQUIRE(fixture.reach_targets({"a", "b", "c"}));
    CHECK(fixture.follower.refused_count() == 5);
    fixture.change("servers", good("odd", 14));
    REQUIRE(fixture.reach_targets({"a", "b", "c", "odd"}));
    CHECK(fixture.follower.refused_count() == 5);
}

// Guards against a target that is dropped because the version of its own entry cannot be read.
TEST_CASE("a known target stays while its entry names no version")
{
    const bool listed = GENERATE(false, true);
    raw_follower fixture;
    fixture.list("servers", {good("a", 2), good("b", 3)});
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach_targets({"a", "b"}));
    const std::string odd = R"({"metadata":{"name":"a","revision":1e400},"spec":{}})";
    if (listed)
    {
        fixture.list("servers", {odd, good("b", 3), good("c", 11)});
        fixture.version = fixture.shown_version = 12;
        fixture.follower.set_reading(false);
        fixture.follower.set_reading(true);
    }
    else
    {
        fixture.change("servers", odd, false, false);
        fixture.change("servers", good("c", 12));
    }
    REQUIRE(fixture.reach_targets({"a", "b", "c"}));
    fixture.change("servers", odd, true);
    CHECK(fixture.reach_targets({"b", "c"}));
}

// Guards against a target that is dropped, or never heard of again, because another writer has
// replaced its entry.
TEST_CASE("a known target stays as it was while its entry is odd")
{
    raw_follower fixture;
    fixture.list("servers", {good("a", 2), good("b", 3)});
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach_targets({"a", "b"}));
    for (const odd_text& each : platform::odd_target_values())
    {
        fixture.change("servers", entry_text("a", fixture.version + 1, each.text), false, false);
    }
    fixture.change("servers", good("c", fixture.version + 1));
    REQUIRE(fixture.reach_targets({"a", "b", "c"}));
    const auto address = [&](std::size_t index)
    { return fixture.table->services.at("desk").targets.at(index).address; };
    CHECK(address(0) == "10.0.0.97:80");
    fixture.change(
        "servers",
        entry_text("a", fixture.version + 1, target_json("draining", 2, "10.0.0.97:80")));
    CHECK(fixture.reach(
        [&]
        {
            return fixture.table->services.at("desk").targets.at(0).state ==
                   core::target_admin_state::draining;
        }));
    fixture.change("servers", entry_text("a", fixture.version + 1, "1e400"), false, false);
    fixture.change("servers", good("a", fixture.version + 1), true);
    CHECK(fixture.reach_targets({"b", "c"}));
}

// Guards against the use of another entry than the newest one of a name.
TEST_CASE("of two entries with one name the newer one counts")
{
    raw_follower fixture;
    fixture.list(
        "servers", {good("a", 2), entry_text("b", 3, "{}"), good("b", 4), good("c", 5),
                    entry_text("c", 4, nested(1'000)), good("a", 2)});
    fixture.follower.set_reading(true);
    CHECK(fixture.reach_targets({"a", "b", "c"}));
}

// Guards against a configuration that cannot be read and puts the earlier one, or the store, out of
// force.
TEST_CASE("an odd configuration leaves the earlier one in force")
{
    raw_follower fixture;
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach([&] { return fixture.follower.version() == 1; }));
    const std::string two = configuration_json(2, "/odd/");
    std::vector<std::string> odd = {"7",           "null",          "{}",          nested(33),
                                    nested(1'000), nested(100'000), R"("\ud800")", "1e400"};
    for (const char* member :
         {R"("max-header-bytes":16384)", R"("header-timeout-ms":3000)", R"("max-body-bytes":1000)",
          R"("idle-timeout-ms":15000)", R"("target-latency-ms":200)", R"("priority":1)",
          R"("timeout-ms":800)", R"("max-attempts":2)", R"("warmup-per-s":5.9)"})
    {
        const std::string text(member);
        const std::string name = text.substr(0, text.find(':') + 1);
        for (const std::string& number :
             {std::string("1e400"), std::string("-1"), std::string("null"), std::string(R"("1")"),
              "1" + std::string(4'000, '0'), nested(33), nested(100'000)})
        {
            odd.push_back(replaced(two, text, name + number));
        }
    }
    for (const std::string& spec : odd)
    {
        fixture.change("config", entry_text("main", fixture.version + 1, spec), false, false);
    }
    for (const odd_text& each : platform::odd_entry_texts("main"))
    {
        if (each.what != "a name twice")
        {
            fixture.change("config", each.text, false, false);
        }
    }
    fixture.change("evacuations", entry_text("d7", fixture.version + 1, "{}"));
    REQUIRE(fixture.reach([&] { return fixture.table->is_domain_out("d7"); }));
    // The configuration's watch has passed the odd ones once it has shown a later one.
    fixture.change(
        "config", entry_text("main", fixture.version + 1, configuration_json(3, "/three/")));
    REQUIRE(fixture.reach([&] { return fixture.follower.version() == 3; }));
    CHECK(fixture.table->routes.at(0).path_prefix == "/three/");
    CHECK(fixture.follower.refused_count() >= odd.size());
}

// Guards against an instance that starts beside an odd configuration and follows nothing else.
TEST_CASE("what is listed with an odd configuration is followed")
{
    raw_follower fixture;
    fixture.list(
        "config",
        {nested(1'000), entry_text("extra", 3, nested(1'000)),
         entry_text("main", 4, configuration_json(1, "/one/")), entry_text("other", 5, "1e400")});
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach_targets({"a"}));
    CHECK(fixture.table->routes.at(0).path_prefix == "/one/");
}

// Guards against an evacuation that is not in force because of what stands in its entry or in
// another one: its name is all that it says.
TEST_CASE("evacuations are followed beside odd ones")
{
    raw_follower fixture;
    fixture.list(
        "evacuations", {entry_text("d1", 3, nested(100'000)), nested(1'000), "7",
                        entry_text("d2", 4, "1e400"), entry_text("d3", 5, "{}")});
    fixture.follower.set_reading(true);
    REQUIRE(fixture.reach([] { return true; }));
    CHECK(fixture.table->is_domain_out("d1"));
    CHECK(fixture.table->is_domain_out("d2"));
    CHECK(fixture.table->is_domain_out("d3"));
    for (const odd_text& each : platform::odd_entry_texts("d9"))
    {
        fixture.change("evacuations", each.text, false, false);
    }
    fixture.change("evacuations", entry_text("d1", 11, nested(100'000)), true, false);
    fixture.change("evacuations", entry_text("d4", fixture.version + 1, "{}"));
    REQUIRE(fixture.reach([&] { return fixture.table->is_domain_out("d4"); }));
    CHECK_FALSE(fixture.table->is_domain_out("d1"));
    CHECK_FALSE(fixture.table->is_domain_out("d9"));
    CHECK(fixture.table->is_domain_out("d3"));
}

// Guards against an odd entry that another instance passes on and that hides the others from those
// that do not read the store, or fills their memory and messages.
TEST_CASE("targets are followed beside odd entries that another instance passes on")
{
    follower_fleet fleet;
    fleet.store.put("config/main", configuration_json(1, "/one/"));
    fleet.store.put("servers/a", target_json("ready", 1, "10.0.0.1:80"));
    follower_fleet::instance& reader = fleet.add(true);
    fleet.pass(100ms);
    const follower_fleet::instance& listener = fleet.add(false);
    fleet.pass(100ms);
    REQUIRE(listener.target_state("a") == 'i');
    std::size_t number = 0;
    for (const odd_text& each : platform::odd_target_values())
    {
        fleet.store.put("servers/odd" + std::to_string(number++), each.text);
    }
    const std::string long_name(100'000, 'n');
    fleet.store.put("servers/" + long_name, target_json("ready", 1, "10.0.0.3:80"));
    fleet.store.put("servers/a b\r\nc", target_json("ready", 1, "10.0.0.4:80"));
    fleet.store.put("servers/b", target_json("ready", 1, "10.0.0.2:80"));
    fleet.pass(1s);
    const follower_fleet::instance& late = fleet.add(false);
    fleet.pass(1s);
    fleet.store.put("servers/a", target_json("draining", 2, "10.0.0.1:80"));
    fleet.store.put("config/main", configuration_json(2, "/two/"));
    fleet.pass(1s);
    for (const follower_fleet::instance* each : {&std::as_const(reader), &listener, &late})
    {
        INFO(each->name);
        REQUIRE(each->desk() != nullptr);
        // The reader does not pass on what is too long.
        const std::size_t refused = number + (each == &reader ? 2 : 1);
        CHECK(each->desk()->targets.size() == 2);
        CHECK(each->target_state("a") == 'd');
        CHECK(each->target_state("b") == 'i');
        CHECK(each->applied == std::vector<std::uint64_t>{1, 2});
        CHECK(each->follower->refused_count() == refused);
        const auto whole = each->follower->whole("servers/");
        REQUIRE(whole);
        for (const core::store_object& object : whole->objects)
        {
            CHECK(object.key.size() + object.value.size() <= 8'192);
        }
    }
    CHECK(reader.follower->states() == listener.follower->states());
}
