#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/table/object_mirror.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// Store whose list and watch calls the test answers.
class scripted_store final : public core::object_store
{
public:
    void get(const std::string&, result_callback) override {}
    void put(const std::string&, const std::string&, std::uint64_t, result_callback) override {}
    void remove(const std::string&, std::uint64_t, result_callback) override {}
    void list(const std::string&, list_callback done) override
    {
        ++lists;
        pending = std::move(done);
    }
    void watch(const std::string&, std::uint64_t from, list_callback done) override
    {
        watched_from = from;
        pending = std::move(done);
    }

    void answer(std::uint64_t version, std::vector<core::store_object> objects)
    {
        auto done = std::exchange(pending, nullptr);
        REQUIRE(done);
        done({.status = core::store_status::ok, .version = version, .objects = std::move(objects)});
    }

    int lists = 0;
    std::uint64_t watched_from = 0;
    list_callback pending;
};

core::store_object object(const std::string& name, std::uint64_t version, bool deleted = false)
{
    return {.key = "k/" + name, .version = version, .value = "{}", .deleted = deleted};
}

struct mirror_fixture
{
    explicit mirror_fixture()
        : mirror(
              {.store = &store,
               .timers = &timers,
               .prefix = "k/",
               .changed = [this] { ++changes; },
               .updated = [this](const object_update& update) { updates.push_back(update); },
               .on_answered = [] {},
               .on_call_failure = [this] { ++losses; }})
    {
    }

    /// Advances the clock past the pause before the next watch.
    void end_watch_pause() { timers.advance(1ms); }

    core::manual_timer_service timers;
    scripted_store store;
    std::vector<object_update> updates;
    int changes = 0;
    int losses = 0;
    object_mirror mirror;
};

} // namespace

// Guards against a reader that forwards fewer or more changes than there were.
TEST_CASE("changes read from the store are forwarded as updates")
{
    mirror_fixture reader;
    reader.mirror.resume();
    reader.store.answer(10, {object("a", 3), object("b", 9)});
    REQUIRE(reader.updates.size() == 1);
    CHECK(reader.updates[0].whole);
    reader.end_watch_pause();
    CHECK(reader.store.watched_from == 10);
    reader.store.answer(12, {object("a", 11), object("b", 12, true)});
    REQUIRE(reader.updates.size() == 2);
    CHECK(reader.updates[1].objects.size() == 2);

    // A second list is forwarded as differences only.
    reader.mirror.resume();
    reader.store.answer(20, {object("c", 15)});
    REQUIRE(reader.updates.size() == 3);
    CHECK_FALSE(reader.updates[2].whole);
    CHECK(reader.updates[2].objects.size() == 2);
    reader.mirror.resume();
    reader.store.answer(25, {object("c", 15)});
    CHECK(reader.updates.size() == 3);
    CHECK(reader.mirror.version() == 20);

    mirror_fixture other;
    CHECK(other.mirror.offer(reader.updates[1]) == update_result::gap);
    for (const std::size_t index : {0U, 1U, 2U})
    {
        CHECK(other.mirror.offer(reader.updates[index]) == update_result::applied);
    }
    CHECK(other.mirror.state() == reader.mirror.state());
    CHECK(other.mirror.offer(reader.updates[1]) == update_result::not_newer);
}

// Guards against a mirror that reverts to an older version, or that applies the answer to an
// abandoned call.
TEST_CASE("late answers and answers with an older version are not applied")
{
    mirror_fixture fixture;
    fixture.mirror.resume();
    const auto late = fixture.store.pending;
    fixture.mirror.resume();
    fixture.store.answer(10, {object("a", 10)});
    late({.status = core::store_status::ok, .version = 11, .objects = {}});
    CHECK(fixture.mirror.objects().size() == 1);
    fixture.mirror.resume();
    fixture.store.answer(9, {});
    CHECK(fixture.losses == 1);
    CHECK(fixture.mirror.objects().size() == 1);
    fixture.mirror.resume();
    fixture.mirror.halt();
    fixture.store.answer(12, {});
    CHECK(fixture.mirror.objects().size() == 1);
}

// Guards against instances that stay inconsistent after updates were lost, duplicated or reordered:
// a gap must be detectable, and a full update must repair it.
TEST_CASE("a missed update is detected and repaired by a full update")
{
    const std::uint32_t seed = GENERATE(range(1U, 40U));
    std::mt19937 random(seed);
    mirror_fixture reader;
    reader.mirror.resume();
    reader.store.answer(1, {object("a", 1)});
    mirror_fixture other;
    std::uint64_t version = 1;
    for (int step = 0; step < 60; ++step)
    {
        reader.end_watch_pause();
        const std::string name(1, static_cast<char>('a' + random() % 5));
        ++version;
        reader.store.answer(version, {object(name, version, random() % 3 == 0)});
    }
    // Some updates are lost, some duplicated, and some reordered.
    std::vector<object_update> arriving;
    for (const object_update& update : reader.updates)
    {
        for (std::uint32_t copy = 0; copy < random() % 3; ++copy)
        {
            const auto place = arriving.size() - random() % (arriving.size() / 4 + 1);
            arriving.insert(arriving.begin() + static_cast<std::ptrdiff_t>(place), update);
        }
    }
    for (const object_update& update : arriving)
    {
        static_cast<void>(other.mirror.offer(update));
    }
    const bool same = other.mirror.state().digest == reader.mirror.state().digest;
    if (!same)
    {
        // Compared by another instance before it requests a full update.
        CHECK(other.mirror.state().version <= reader.mirror.state().version);
        CHECK(other.mirror.offer(reader.mirror.whole()) != update_result::gap);
    }
    CHECK(other.mirror.state().digest == reader.mirror.state().digest);
}
