#include "support/restorable_store.hpp"

#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/news/update_messages.hpp>
#include <catkintally/entry/table/object_mirror.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// Value of 20,000 bytes, of which the version is the smallest part.
std::string large_value(std::uint64_t version)
{
    return std::string(20'000, 'x') + std::to_string(version);
}

std::uint64_t content_of(const core::store_object& object)
{
    return std::stoull("0" + object.value.substr(object.value.find_last_of('x') + 1));
}

/// A reader of the store, whose updates are kept, and an instance that is offered some of them.
struct large_value_fixture
{
    large_value_fixture()
        : reader(options([this](const object_update& update) { updates.push_back(sent(update)); }))
        , other(options([](const object_update&) {}))
    {
        store.put("config/main", large_value(1));
        reader.resume();
        pass();
        other.offer(reader.whole());
        updates.clear();
    }

    object_mirror_options options(std::function<void(const object_update&)> updated)
    {
        return {
            .store = &client,
            .timers = &timers,
            .prefix = "config/",
            .changed = [] {},
            .updated = std::move(updated),
            .on_answered = [] {},
            .content = content_of,
            .on_call_failure = [] {}};
    }

    /// What arrives at another instance.
    static object_update sent(const object_update& update)
    {
        const auto message = to_message(update);
        return to_update(*message.Asnews_update());
    }

    void write(std::uint64_t version)
    {
        store.put("config/main", large_value(version));
        pass();
    }

    void pass() { timers.advance(10ms); }

    [[nodiscard]] std::string known_value() const
    {
        return other.objects().at("config/main").value;
    }

    core::manual_timer_service timers;
    restorable_store store{timers};
    restorable_store::client client{store};
    std::vector<object_update> updates;
    object_mirror reader;
    object_mirror other;
};

} // namespace

// Guards against a change that is taken for known, or applied to the wrong earlier value, when it
// arrives without the whole value.
TEST_CASE("a change of a large value is applied to its base, and asked for whole without it")
{
    struct offer
    {
        /// Index of the update; the one that carries everything follows the last.
        std::size_t update;
        update_result result;
        std::uint64_t known;
    };
    struct row
    {
        const char* name;
        std::vector<offer> offers;
    };
    using enum update_result;
    const std::vector<row> rows = {
        {"in order", {{0, applied, 2}, {1, applied, 3}}},
        {"twice", {{0, applied, 2}, {0, not_newer, 2}, {1, applied, 3}, {0, not_newer, 3}}},
        {"the first is missing", {{1, gap, 1}, {0, applied, 2}, {1, applied, 3}}},
        {"the first is missing, then everything",
         {{1, gap, 1}, {2, applied, 3}, {1, not_newer, 3}}},
        {"an earlier one after everything", {{2, applied, 3}, {0, not_newer, 3}}}};
    for (const row& each : rows)
    {
        INFO(each.name);
        large_value_fixture fixture;
        fixture.write(2);
        fixture.write(3);
        REQUIRE(fixture.updates.size() == 2);
        for (const object_update& update : fixture.updates)
        {
            REQUIRE(update.objects.size() == 1);
            CHECK(update.objects[0].value.empty());
        }
        fixture.updates.push_back(fixture.sent(fixture.reader.whole()));
        for (const offer& next : each.offers)
        {
            CHECK(fixture.other.offer(fixture.updates[next.update]) == next.result);
            CHECK(fixture.known_value() == large_value(next.known));
        }
        CHECK(fixture.other.state() == fixture.reader.state());
    }
}

// Guards against a change that is lost because another one under a later version came first.
TEST_CASE("a change without its base counts as missing beside a later version")
{
    large_value_fixture fixture;
    fixture.write(2);
    fixture.write(3);
    object_update later = fixture.sent(fixture.reader.whole());
    // The other instance knows a later version of the store, but not the newest content.
    later.objects[0] = fixture.other.objects().at("config/main");
    later.version += 10;
    REQUIRE(fixture.other.offer(later) == update_result::applied);
    CHECK(fixture.other.offer(fixture.updates[1]) == update_result::gap);
    CHECK(fixture.known_value() == large_value(1));
    CHECK(fixture.other.offer(fixture.updates[0]) == update_result::applied);
    CHECK(fixture.other.offer(fixture.updates[1]) == update_result::applied);
    CHECK(fixture.known_value() == large_value(3));
}

// Guards against changes that the store reports in one answer and that are sent on one by one, each
// of them whole.
TEST_CASE("of several changes of one object in one answer only the last is sent on")
{
    large_value_fixture fixture;
    // The waiting watch is answered after the second change only.
    fixture.store.objects.put("config/main", large_value(2), std::nullopt);
    fixture.write(3);
    REQUIRE(fixture.updates.size() == 1);
    CHECK(fixture.updates[0].objects.size() == 1);
    CHECK(fixture.other.offer(fixture.updates[0]) == update_result::applied);
    CHECK(fixture.known_value() == large_value(3));
}

// Guards against a value that is wrong because the delta was damaged, or made from another value.
TEST_CASE("a delta that does not fit is a gap")
{
    large_value_fixture fixture;
    fixture.write(2);
    object_update damaged = fixture.updates[0];
    auto& bytes = damaged.deltas.at("config/main").bytes;
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
    CHECK(fixture.other.offer(damaged) == update_result::gap);
    CHECK(fixture.known_value() == large_value(1));
    CHECK(fixture.other.offer(fixture.updates[0]) == update_result::applied);
    CHECK(fixture.known_value() == large_value(2));
}
