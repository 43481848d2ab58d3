#include <catkintally/entry/news/gossip_node.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/runtime/time/run_until.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include "support/free_address.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <set>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// An instance without a store. Its objects are represented by a version only.
struct test_instance
{
    test_instance(
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
        node =
            std::make_unique<gossip_node>(gossip_node_options{
                .loop = &loop,
                .timers = &timers,
                .self = self,
                .listen_address = self.peer_address,
                .key = "shared",
                .seeds = std::move(seeds),
                .seed = std::hash<std::string>()(name),
                .offer = [this](const object_update& update) { return apply(update); },
                .whole = [this](const std::string&) { return known; },
                // As with an object_mirror, objects without a version are not known.
                .states =
                    [this]
                {
                    return known && known->version != 0 ? std::map<std::string, object_state>{
                                   {"k/", {.version = known->version, .digest = known->digest}}}
                             : std::map<std::string, object_state>{};
                },
                .on_reader_state =
                    [this](const std::string& reader, wire::reader_state state, core::duration)
                { reader_statuses.push_back(reader + ' ' + wire::EnumNamereader_state(state)); },
                .on_target_crash = [this](const core::target_crash& crash)
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
                .on_suspicion_cleared =
                    [this](std::uint64_t fingerprint)
                {
                    const auto erased = std::erase_if(
                        crashes, [&](const auto& each) { return each.first == fingerprint; });
                    return erased + records.erase(fingerprint) > 0;
                },
                .on_crash_record =
                    [this](const core::crash_record& record)
                {
                    const bool added = !cleared.contains(record.fingerprint) &&
                                       records.emplace(record.fingerprint, record).second;
                    return core::crash_record_news{
                        .forward = added,
                        .cleared = cleared.contains(record.fingerprint),
                        .reply = {}};
                },
                .crash_records =
                    [this]
                {
                    std::vector<core::crash_record> known;
                    for (const auto& [fingerprint, record] : records)
                    {
                        known.push_back(record);
                    }
                    return known;
                },
                .on_target_limit =
                    [this](const core::target_limit& limit)
                {
                    const bool added = limits.emplace(limit.target, limit).second;
                    return added;
                },
                .target_limits =
                    [this]
                {
                    std::vector<core::target_limit> known;
                    for (const auto& [target, limit] : limits)
                    {
                        known.push_back(limit);
                    }
                    return known;
                },
                .on_demand = [this](const std::vector<core::demand_report>& received)
                { demand.insert(demand.end(), received.begin(), received.end()); },
                .demand_reports = [this] { return demand; }});
        REQUIRE(node->start());
    }

    update_result apply(const object_update& update)
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
        ++updates;
        return update_result::applied;
    }

    void read_from_store(std::uint64_t version)
    {
        const object_update update{
            .prefix = "k/", .version = version, .digest = version, .whole = !known, .objects = {}};
        known = update;
        known->whole = true;
        node->broadcast_update(update);
    }

    std::string address;
    std::optional<object_update> known;
    /// Updates that were applied.
    int updates = 0;
    std::set<std::pair<std::uint64_t, std::string>> crashes;
    std::map<std::uint64_t, core::crash_record> records;
    /// Requests that were answered after their crashes.
    std::set<std::uint64_t> cleared;
    std::map<std::string, core::target_limit> limits;
    std::vector<core::demand_report> demand;
    std::vector<std::string> reader_statuses;
    std::unique_ptr<gossip_node> node;
};

struct gossip_fixture
{
    test_instance& add(const std::string& name)
    {
        std::vector<std::string> seeds;
        for (const auto& each : instances)
        {
            seeds.push_back(each->address);
        }
        seeds.resize(std::min<std::size_t>(seeds.size(), 3));
        instances.push_back(std::make_unique<test_instance>(loop, timers, name, seeds));
        return *instances.back();
    }

    bool wait_until_all(const std::function<bool(const test_instance&)>& condition)
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

    bool wait_for_version(std::uint64_t version)
    {
        return wait_until_all([version](const test_instance& each)
                              { return each.known && each.known->version == version; });
    }

    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    std::vector<std::unique_ptr<test_instance>> instances;
};

} // namespace

// Guards against updates and reader statuses that do not reach every instance, or that are taken as
// new more than once.
TEST_CASE("updates and reader statuses reach every instance")
{
    gossip_fixture fixture;
    for (int index = 0; index < 8; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    REQUIRE(fixture.wait_until_all([](const test_instance& each)
                                   { return each.node->instances() > 1; }));
    test_instance& reader = *fixture.instances[5];
    reader.read_from_store(1);
    REQUIRE(fixture.wait_for_version(1));
    for (std::uint64_t version = 2; version < 10; ++version)
    {
        reader.read_from_store(version);
    }
    REQUIRE(fixture.wait_for_version(9));
    for (const auto state :
         {wire::reader_state::asking, wire::reader_state::reached, wire::reader_state::failed})
    {
        reader.node->broadcast_reader_state(state);
    }
    REQUIRE(
        fixture.wait_until_all([&](const test_instance& each)
                               { return &each == &reader || each.reader_statuses.size() == 3; }));
    for (const auto& each : fixture.instances)
    {
        const std::vector<std::string> expected = {"i5#1 asking", "i5#1 reached", "i5#1 failed"};
        CHECK(
            (each.get() == &reader ? each->reader_statuses.empty()
                                   : each->reader_statuses == expected));
    }
}

// Guards against a request that crashes targets through one instance after the other, and against
// crash notices that are forwarded without end.
TEST_CASE("crash notices and their clearing reach every instance once")
{
    gossip_fixture fixture;
    for (int index = 0; index < 8; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    REQUIRE(fixture.wait_until_all([](const test_instance& each)
                                   { return each.node->instances() > 1; }));
    test_instance& reporter = *fixture.instances[3];
    reporter.read_from_store(1);
    REQUIRE(fixture.wait_for_version(1));
    const core::target_crash crash{
        .fingerprint = 7,
        .target = "t1",
        .sent_at = fixture.timers.now() - 2s,
        .crashed_at = fixture.timers.now() - 1s};
    reporter.crashes.emplace(crash.fingerprint, crash.target);
    reporter.node->broadcast_crash(crash);
    REQUIRE(
        fixture.wait_until_all([](const test_instance& each) { return each.crashes.size() == 1; }));
    // An instance that starts later learns of the crash too, or it would let the request crash
    // further targets.
    fixture.add("i8");
    REQUIRE(
        fixture.wait_until_all([](const test_instance& each) { return each.crashes.size() == 1; }));
    reporter.crashes.clear();
    reporter.node->broadcast_suspicion_cleared(7);
    REQUIRE(fixture.wait_until_all([](const test_instance& each) { return each.crashes.empty(); }));
}

// Guards against a request that crashes targets through an instance that does not know that it is
// refused, because it has started since or has lost the ages and claims on the way, and against one
// that stays refused at an instance which has not heard that it was answered.
TEST_CASE("records of crashing requests reach every instance, also one that starts later")
{
    gossip_fixture fixture;
    for (int index = 0; index < 5; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    REQUIRE(fixture.wait_until_all([](const test_instance& each)
                                   { return each.node->instances() > 1; }));
    const auto now = fixture.timers.now();
    const core::crash_record record{
        .fingerprint = 7,
        .crashes = 4,
        .crashed_at = now - 500s,
        .arrived_at = now - 10s,
        .claimant = 0xFEDC'BA98'7654'3210};
    fixture.instances[3]->records.emplace(7, record);
    fixture.instances[3]->node->broadcast_crash_record(record);
    const auto all_know = [](const test_instance& each) { return each.records.size() == 1; };
    REQUIRE(fixture.wait_until_all(all_know));
    fixture.add("i5");
    REQUIRE(fixture.wait_until_all(all_know));
    for (const auto& each : fixture.instances)
    {
        const core::crash_record& known = each->records.at(7);
        CHECK(known.crashes == 4);
        CHECK(known.claimant == record.claimant);
        // Ages are rounded to milliseconds, and messages take some time.
        CHECK(known.crashed_at > record.crashed_at - 10ms);
        CHECK(known.crashed_at < known.arrived_at - 400s);
    }
    for (const auto& each : fixture.instances)
    {
        each->records.clear();
        each->cleared.insert(7);
    }
    fixture.add("i6").records.emplace(7, record);
    CHECK(fixture.wait_until_all([](const test_instance& each) { return each.records.empty(); }));
}

// Guards against an instance that needs the store to start, and against updates that no longer
// arrive once the instance that read them, or a seed, has left.
TEST_CASE("a starting instance receives all objects from any other instance")
{
    gossip_fixture fixture;
    for (int index = 0; index < 5; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    fixture.instances[0]->read_from_store(1);
    REQUIRE(fixture.wait_for_version(1));
    // The first instance was the reader and a seed of all others.
    fixture.instances.erase(fixture.instances.begin());
    fixture.add("late");
    REQUIRE(fixture.wait_for_version(1));
    fixture.instances.back()->read_from_store(2);
    CHECK(fixture.wait_for_version(2));
}

// Guards against an instance that starts next to up-to-date neighbours and still reads the store,
// because it receives the first reader status only a second later.
TEST_CASE("a starting instance receives the latest reader statuses with the objects")
{
    gossip_fixture fixture;
    fixture.add("i0");
    fixture.add("i1");
    REQUIRE(fixture.wait_until_all([](const test_instance& each)
                                   { return each.node->instances() > 1; }));
    fixture.instances[0]->read_from_store(1);
    REQUIRE(fixture.wait_for_version(1));
    fixture.instances[0]->node->broadcast_reader_state(wire::reader_state::reached);
    REQUIRE(fixture.wait_until_all(
        [&](const test_instance& each)
        { return &each == fixture.instances[0].get() || !each.reader_statuses.empty(); }));
    test_instance& new_instance = fixture.add("late");
    REQUIRE(fixture.wait_until_all(
        [&](const test_instance& each)
        { return &each != &new_instance || (each.known && !each.reader_statuses.empty()); }));
    CHECK(new_instance.reader_statuses == std::vector<std::string>{"i0#1 reached"});
}

// Guards against an instance that stays out of date after it has missed an update.
TEST_CASE("a missed update is pulled from the neighbour that reveals the gap")
{
    gossip_fixture fixture;
    for (int index = 0; index < 4; ++index)
    {
        fixture.add("i" + std::to_string(index));
    }
    test_instance& reader = *fixture.instances[1];
    reader.read_from_store(1);
    REQUIRE(fixture.wait_for_version(1));
    // Changed without a broadcast, as if the updates had been lost on all links.
    reader.known->version = 5;
    reader.known->digest = 5;
    reader.read_from_store(6);
    CHECK(fixture.wait_for_version(6));
    reader.known->version = 8;
    reader.known->digest = 8;
    reader.node->broadcast_reader_state(wire::reader_state::reached);
    CHECK(fixture.wait_for_version(8));
}

// Guards against rate limits that only the instance that read them keeps, and against instances
// that start without those that are in force (issue 28).
TEST_CASE("the rate limit of a target reaches every instance, also one that starts later")
{
    gossip_fixture fixture;
    for (const char* name : {"i0", "i1", "i2", "i3", "i4", "i5"})
    {
        fixture.add(name);
    }
    REQUIRE(fixture.wait_until_all([](const test_instance& each)
                                   { return each.node->counters().links_opened > 0; }));
    core::target_limit limit{
        .service = "desk", .target = "t1", .incarnation = 7, .version = 3, .source = "i0"};
    limit.per_second = 1.5;
    fixture.instances[0]->limits["t1"] = limit;
    fixture.instances[0]->node->broadcast_limit(limit);
    CHECK(fixture.wait_until_all([](const test_instance& each)
                                 { return each.limits.contains("t1"); }));

    // More than one message of each kind.
    for (std::uint32_t number = 0; number < 1500; ++number)
    {
        core::target_limit other = limit;
        other.target = "more" + std::to_string(number);
        for (const auto& each : fixture.instances)
        {
            each->limits.emplace(other.target, other);
            each->demand.push_back(
                {.instance = number,
                 .incarnation = 2,
                 .service = 3,
                 .failure_domain = 4,
                 .sequence = 5,
                 .per_second = 0.25,
                 .age = 6ms});
        }
    }
    const test_instance& late = fixture.add("i6");
    REQUIRE(fixture.wait_until_all(
        [&](const test_instance&)
        { return late.limits.size() >= 1501 && late.demand.size() >= 1500; }));
    const core::target_limit& received = late.limits.at("t1");
    CHECK(received.service == "desk");
    CHECK(received.incarnation == 7);
    CHECK(received.version == 3);
    CHECK(received.per_second == std::optional(1.5));
    CHECK(received.source == "i0");
    const core::demand_report& report = late.demand.front();
    CHECK(report.incarnation == 2);
    CHECK(report.service == 3);
    CHECK(report.failure_domain == 4);
    CHECK(report.sequence == 5);
    CHECK(report.per_second == 0.25);
    CHECK(report.age >= 6ms);
}

// Guards against figures of a faulty neighbour that change what targets get.
TEST_CASE("rate limits that are no finite number are not taken from a neighbour")
{
    gossip_fixture fixture;
    test_instance& sender = fixture.add("i0");
    test_instance& receiver = fixture.add("i1");
    REQUIRE(fixture.wait_until_all([](const test_instance& each)
                                   { return each.node->counters().links_opened > 0; }));
    core::target_limit limit{.service = "desk", .target = "absurd", .version = 1, .source = "i0"};
    for (const double per_second :
         {std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), -1.0})
    {
        limit.per_second = per_second;
        sender.node->broadcast_limit(limit);
    }
    limit.target = "valid";
    limit.per_second = 2;
    sender.node->broadcast_limit(limit);
    REQUIRE(fixture.wait_until_all([&](const test_instance&)
                                   { return receiver.limits.contains("valid"); }));
    CHECK_FALSE(receiver.limits.contains("absurd"));
}

// Guards against a process that ends, or an instance whose table holds what belongs to another
// kind, because of an update that a faulty or another version of an instance sends.
TEST_CASE("an update that no instance would send is ignored")
{
    gossip_fixture fixture;
    const test_instance& receiver = fixture.add("i0");
    const std::string address = free_address();
    std::optional<core::member_id> linked;
    peer_network sender(
        {.loop = &fixture.loop,
         .timers = &fixture.timers,
         .self =
             {.id = {.instance = "other", .incarnation = 1},
              .failure_domain = "d0",
              .peer_address = address},
         .listen_address = address,
         .key = "shared",
         .seeds = {receiver.address},
         .seed = 3,
         .receive = [](const core::member&, const wire::payloadUnion&) {},
         .linked = [&](const core::member_id& peer) { linked = peer; }});
    REQUIRE(sender.start());
    REQUIRE(fixture.wait_until_all([&](const test_instance&) { return linked.has_value(); }));
    struct row
    {
        std::uint64_t version;
        bool whole;
        std::vector<const char*> keys;
        /// The objects come as differences from what is known.
        bool as_delta = false;
    };
    const auto send = [&](const row& each)
    {
        wire::news_update_data data;
        data.prefix = "k/";
        data.version = each.version;
        data.whole = each.whole;
        for (const char* key : each.keys)
        {
            data.objects.push_back(std::make_unique<wire::news_object_data>());
            data.objects.back()->key = key;
            data.objects.back()->value = std::string(100'000, '[');
            if (each.as_delta)
            {
                data.objects.back()->delta = {1};
            }
        }
        sender.send(*linked, wire::make_message(std::move(data)));
    };
    for (const bool whole : {true, false})
    {
        send({.version = 0, .whole = whole, .keys = {"k/a"}});
        send({.version = 1, .whole = whole, .keys = {"k/a", "other/a"}});
        send({.version = 1, .whole = whole, .keys = {"k/"}});
        send({.version = 1, .whole = whole, .keys = {""}});
    }
    send({.version = 1, .whole = true, .keys = {"k/a"}, .as_delta = true});
    send({.version = 5, .whole = true, .keys = {"k/a"}});
    CHECK(fixture.wait_for_version(5));
    REQUIRE(receiver.known);
    CHECK(receiver.updates == 1);
}
