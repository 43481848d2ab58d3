#include <catkintally/entry/news/news_exchange.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/runtime/time/run_until.hpp>

#include "support/free_address.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// One instance without a store: what it knows is a list of objects and a version.
struct news_instance
{
    news_instance(
        runtime::event_loop& loop,
        core::timer_service& timers,
        const std::string& name,
        std::vector<std::string> seeds)
    {
        core::member self;
        self.id = {.instance = name, .incarnation = 1};
        self.failure_domain = "d" + std::to_string(name.back() % 2);
        self.peer_address = free_address();
        address = self.peer_address;
        exchange =
            std::make_unique<news_exchange>(news_exchange_options{
                .loop = &loop,
                .timers = &timers,
                .self = self,
                .listen_address = self.peer_address,
                .key = "shared",
                .seeds = std::move(seeds),
                .seed = std::hash<std::string>()(name),
                .offer = [this](const object_update& update) { return take(update); },
                .whole = [this](const std::string&) { return known; },
                .states =
                    [this]
                {
                    return known ? std::map<std::string, object_state>{
                                   {"k/", {.version = known->version, .digest = known->digest}}}
                             : std::map<std::string, object_state>{};
                },
                .on_reader_state =
                    [this](const std::string& reader, wire::reader_state state, core::duration)
                { words.push_back(reader + ' ' + wire::EnumNamereader_state(state)); },
                .heard_crash = [this](const core::target_crash& crash)
                { return crashes.emplace(crash.fingerprint, crash.target).second; },
                .suspected_crashes =
                    [this]
                {
                    std::vector<core::target_crash> known;
                    for (const auto& [fingerprint, target] : crashes)
                    {
                        known.push_back({.fingerprint = fingerprint, .target = target});
                    }
                    return known;
                },
                .heard_cleared =
                    [this](std::uint64_t fingerprint) {
                        return std::erase_if(
                                   crashes,
                                   [&](const auto& each) { return each.first == fingerprint; }) > 0;
                    }});
        REQUIRE(exchange->start());
    }

    update_result take(const object_update& update)
    {
        if (known && update.version <= known->version)
        {
            return update_result::not_newer;
        }
        if (!update.whole && (!known || update.version != known->version + 1))
        {
            return update_result::gap;
        }
        known = update;
        known->whole = true;
        return update_result::applied;
    }

    void learn_from_store(std::uint64_t version)
    {
        const object_update update{
            .prefix = "k/", .version = version, .digest = version, .whole = !known, .objects = {}};
        known = update;
        known->whole = true;
        exchange->tell_update(update);
    }

    std::string address;
    std::optional<object_update> known;
    std::set<std::pair<std::uint64_t, std::string>> crashes;
    std::vector<std::string> words;
    std::unique_ptr<news_exchange> exchange;
};

struct exchange_fixture
{
    news_instance& add(const std::string& name)
    {
        std::vector<std::string> seeds;
        for (const auto& each : instances)
        {
            seeds.push_back(each->address);
        }
        seeds.resize(std::min<std::size_t>(seeds.size(), 3));
        instances.push_back(std::make_unique<news_instance>(loop, timers, name, seeds));
        return *instances.back();
    }

    bool reach(const std::function<bool(const news_instance&)>& condition)
    {
        return runtime::run_until(
            loop, timers,
            [&]
            {
                return std::all_of(
                    instances.begin(), instances.end(),
                    [&](const auto& each) { return condition(*each); });
            },
            20s);
    }

    bool all_know(std::uint64_t version)
    {
        return reach([version](const news_instance& each)
                     { return each.known && each.known->version == version; });
    }

    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    std::vector<std::unique_ptr<news_instance>> instances;
};

} // namespace

// Guards against news that do not reach everyone, or reach them more than once as something new.
TEST_CASE("news and words of readers reach every instance")
{
    exchange_fixture fixture;
    for (int index = 0; index < 8; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    REQUIRE(
        fixture.reach([](const news_instance& each) { return each.exchange->instances() > 1; }));
    news_instance& reader = *fixture.instances[5];
    reader.learn_from_store(1);
    REQUIRE(fixture.all_know(1));
    for (std::uint64_t version = 2; version < 10; ++version)
    {
        reader.learn_from_store(version);
    }
    REQUIRE(fixture.all_know(9));
    for (const auto state :
         {wire::reader_state::asking, wire::reader_state::reached, wire::reader_state::failed})
    {
        reader.exchange->tell_reader_state(state);
    }
    REQUIRE(fixture.reach([&](const news_instance& each)
                          { return &each == &reader || each.words.size() == 3; }));
    for (const auto& each : fixture.instances)
    {
        const std::vector<std::string> expected = {"i5#1 asking", "i5#1 reached", "i5#1 failed"};
        CHECK((each.get() == &reader ? each->words.empty() : each->words == expected));
    }
}

// Guards against a request that crashes targets through one instance after the other, and against
// notices that go round for ever.
TEST_CASE("crashes and their all-clear reach every instance once")
{
    exchange_fixture fixture;
    for (int index = 0; index < 8; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    REQUIRE(
        fixture.reach([](const news_instance& each) { return each.exchange->instances() > 1; }));
    news_instance& witness = *fixture.instances[3];
    witness.learn_from_store(1);
    REQUIRE(fixture.all_know(1));
    const core::target_crash crash{
        .fingerprint = 7,
        .target = "t1",
        .sent_at = fixture.timers.now() - 2s,
        .crashed_at = fixture.timers.now() - 1s};
    witness.crashes.emplace(crash.fingerprint, crash.target);
    witness.exchange->tell_crash(crash);
    REQUIRE(fixture.reach([](const news_instance& each) { return each.crashes.size() == 1; }));
    // An instance that starts later must not let the request crash further targets.
    fixture.add("i8");
    REQUIRE(fixture.reach([](const news_instance& each) { return each.crashes.size() == 1; }));
    witness.crashes.clear();
    witness.exchange->tell_cleared(7);
    REQUIRE(fixture.reach([](const news_instance& each) { return each.crashes.empty(); }));
}

// Guards against an instance that needs the store to start, and against news that stop because the
// instance that brought them, or a seed, is gone.
TEST_CASE("an instance that starts learns everything from any other one")
{
    exchange_fixture fixture;
    for (int index = 0; index < 5; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    fixture.instances[0]->learn_from_store(1);
    REQUIRE(fixture.all_know(1));
    // The first instance was the reader and everyone's seed.
    fixture.instances.erase(fixture.instances.begin());
    fixture.add("late");
    REQUIRE(fixture.all_know(1));
    fixture.instances.back()->learn_from_store(2);
    CHECK(fixture.all_know(2));
}

// Guards against an instance that starts beside well-informed neighbours and still turns to the
// store, because it hears a reader's word only a second later.
TEST_CASE("an instance that starts hears the latest words of the readers with the news")
{
    exchange_fixture fixture;
    fixture.add("i0");
    fixture.add("i1");
    REQUIRE(
        fixture.reach([](const news_instance& each) { return each.exchange->instances() > 1; }));
    fixture.instances[0]->learn_from_store(1);
    REQUIRE(fixture.all_know(1));
    fixture.instances[0]->exchange->tell_reader_state(wire::reader_state::reached);
    REQUIRE(fixture.reach([&](const news_instance& each)
                          { return &each == fixture.instances[0].get() || !each.words.empty(); }));
    news_instance& late = fixture.add("late");
    REQUIRE(fixture.reach([&](const news_instance& each)
                          { return &each != &late || (each.known && !each.words.empty()); }));
    CHECK(late.words == std::vector<std::string>{"i0#1 reached"});
}

// Guards against an instance that stays behind after it has missed an update.
TEST_CASE("a gap is filled by the neighbour that shows it")
{
    exchange_fixture fixture;
    for (int index = 0; index < 4; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    news_instance& reader = *fixture.instances[1];
    reader.learn_from_store(1);
    REQUIRE(fixture.all_know(1));
    // Learnt without being told, as if the update had been lost on all links.
    reader.known->version = 5;
    reader.known->digest = 5;
    reader.learn_from_store(6);
    CHECK(fixture.all_know(6));
    reader.known->version = 8;
    reader.known->digest = 8;
    reader.exchange->tell_reader_state(wire::reader_state::reached);
    CHECK(fixture.all_know(8));
}
