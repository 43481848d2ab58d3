#include <catkintally/entry/table/table_watcher.hpp>

#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

#include <utility>

using namespace catkintally;
using namespace catkintally::entry;
using core::store_object;
using core::store_status;

namespace
{

store_object service_at(std::uint64_t version, const std::string& name, std::uint32_t ahead = 1)
{
    core::stored_service stored;
    stored.config.service.name = name;
    stored.config.service.path_prefix = '/' + name;
    stored.config.service.ahead = ahead;
    return {.key = core::service_key(name), .version = version, .value = encode(stored)};
}

store_object deleted_at(std::uint64_t version, const std::string& name)
{
    return {.key = core::service_key(name), .version = version, .value = "null", .deleted = true};
}

/// Invalid object, which every instance refuses.
store_object bad_at(std::uint64_t version, const std::string& name)
{
    return service_at(version, name, 99);
}

/// Store whose calls the test answers.
class scripted_store final : public core::object_store
{
public:
    void get(const std::string&, result_callback) override { FAIL("unexpected get"); }
    void list(const std::string&, list_callback done) override { expect("list", std::move(done)); }
    void put(const std::string&, const std::string&, std::uint64_t, result_callback) override
    {
        FAIL("unexpected put");
    }
    void remove(const std::string&, std::uint64_t, result_callback) override
    {
        FAIL("unexpected remove");
    }
    void watch(const std::string&, std::uint64_t from, list_callback done) override
    {
        expect("watch " + std::to_string(from), std::move(done));
    }

    /// Answers the pending call.
    void answer(store_status status, std::uint64_t version, std::vector<store_object> objects)
    {
        REQUIRE(pending_);
        const auto done = std::exchange(pending_, nullptr);
        done({.status = status, .version = version, .objects = std::move(objects)});
    }

    /// The pending call, empty if there is none.
    [[nodiscard]] std::string call() const { return pending_ ? call_ : ""; }

private:
    void expect(std::string call, list_callback done)
    {
        REQUIRE_FALSE(pending_);
        call_ = std::move(call);
        pending_ = std::move(done);
    }

    std::string call_;
    list_callback pending_;
};

enum class source : std::uint8_t
{
    store,
    fails,
    gap,
    peer
};

/// One event, the call that must then be pending, and the revision that must then be in force.
struct step
{
    source from;
    std::uint64_t version;
    std::vector<store_object> objects;
    const char* call;
    std::optional<std::uint64_t> in_force;
};

struct scenario
{
    const char* name;
    std::vector<step> steps;
    std::vector<std::uint64_t> published;
    std::vector<std::uint64_t> refused;
};

} // namespace

// Guards against a table that reverts to an older revision, skips a change, or puts an invalid
// revision into force.
TEST_CASE("the table in force is replaced only by newer valid revisions")
{
    using enum source;
    const std::vector<scenario> scenarios = {
        {"an empty store is a known, empty table",
         {{store, 0, {}, "watch 0", 0}, {store, 4, {}, "watch 4", 0}},
         {0},
         {}},
        {"changes are applied one by one",
         {{store, 2, {service_at(2, "a")}, "watch 2", 2},
          {store, 3, {service_at(3, "a")}, "watch 3", 3},
          {store, 5, {service_at(4, "b"), service_at(5, "b")}, "watch 5", 5}},
         {2, 3, 5},
         {}},
        {"failures are retried, first the list and then the watch",
         {{fails, 0, {}, "list", std::nullopt},
          {fails, 0, {}, "list", std::nullopt},
          {store, 2, {service_at(2, "a")}, "watch 2", 2},
          {fails, 0, {}, "watch 2", 2},
          {store, 3, {service_at(3, "a")}, "watch 3", 3}},
         {2, 3},
         {}},
        {"after a gap the table is listed again",
         {{store, 2, {service_at(2, "a")}, "watch 2", 2},
          {gap, 0, {}, "list", 2},
          {store, 9, {service_at(2, "a"), service_at(9, "b")}, "watch 9", 9}},
         {2, 9},
         {}},
        {"an older answer is not used",
         {{store, 5, {service_at(5, "a")}, "watch 5", 5},
          {gap, 0, {}, "list", 5},
          {store, 3, {service_at(3, "a")}, "list", 5},
          {store, 6, {service_at(6, "a")}, "watch 6", 6},
          {store, 4, {service_at(4, "a")}, "watch 6", 6}},
         {5, 6},
         {}},
        {"an older event in a newer answer is not used",
         {{store, 5, {service_at(5, "a")}, "watch 5", 5},
          {store, 6, {bad_at(4, "a"), service_at(6, "b")}, "watch 6", 6}},
         {5, 6},
         {}},
        {"a bad revision is refused once and the next good one is applied",
         {{store, 2, {service_at(2, "a")}, "watch 2", 2},
          {store, 3, {bad_at(3, "a")}, "watch 3", 2},
          {store, 4, {}, "watch 4", 2},
          {store, 5, {service_at(5, "b")}, "watch 5", 2},
          {store, 6, {service_at(6, "a")}, "watch 6", 6}},
         {2, 6},
         {3, 5}},
        {"a deletion is a new revision",
         {{store, 3, {service_at(2, "a"), service_at(3, "b")}, "watch 3", 3},
          {store, 4, {deleted_at(4, "b")}, "watch 4", 4},
          {gap, 0, {}, "list", 4},
          {store, 7, {}, "watch 7", 7}},
         {3, 4, 7},
         {}},
        {"peers help while the store is down, and the store does not move the table back",
         {{fails, 0, {}, "list", std::nullopt},
          {peer, 5, {service_at(5, "a")}, "list", 5},
          {peer, 4, {service_at(4, "a")}, "list", 5},
          {store, 4, {service_at(4, "a")}, "watch 4", 5},
          {store, 5, {service_at(5, "a")}, "watch 5", 5},
          {peer, 7, {service_at(5, "a"), service_at(7, "b")}, "watch 5", 7},
          {store, 8, {service_at(7, "b"), service_at(8, "c")}, "watch 8", 8}},
         {5, 7, 8},
         {}},
        {"a bad offer neither applies nor keeps the store's revisions out",
         {{store, 2, {service_at(2, "a")}, "watch 2", 2},
          {peer, 90, {bad_at(3, "a")}, "watch 2", 2},
          {peer, 90, {bad_at(3, "a")}, "watch 2", 2},
          {peer, 91, {service_at(92, "a")}, "watch 2", 2},
          {store, 3, {service_at(3, "a")}, "watch 3", 3}},
         {2, 3},
         {90, 91}}};
    for (const auto& each : scenarios)
    {
        INFO(each.name);
        core::manual_timer_service timers;
        scripted_store scripted;
        std::vector<std::uint64_t> published;
        std::vector<std::uint64_t> refused;
        table_watcher watcher(
            {.store = &scripted,
             .timers = &timers,
             .publish = [&](const auto& table) { published.push_back(table->revision); },
             .refused = [&](const auto& refusal) { refused.push_back(refusal.revision); }});
        watcher.start();
        for (const auto& next : each.steps)
        {
            switch (next.from)
            {
            case store:
                scripted.answer(store_status::ok, next.version, next.objects);
                break;
            case fails:
                scripted.answer(store_status::unknown, 0, {});
                break;
            case gap:
                scripted.answer(store_status::not_found, 0, {});
                break;
            case peer:
                watcher.offer(next.version, next.objects);
                break;
            }
            INFO("version " << next.version);
            timers.advance(std::chrono::seconds(3));
            CHECK(scripted.call() == next.call);
            CHECK(watcher.revision() == next.in_force);
        }
        CHECK(published == each.published);
        CHECK(refused == each.refused);
    }
}

// Guards against an exchange between instances that loses or changes part of the table.
TEST_CASE("objects taken from one watcher bring another to the same table")
{
    core::manual_timer_service timers;
    scripted_store first_store;
    scripted_store second_store;
    std::shared_ptr<const core::table_snapshot> first_table;
    std::shared_ptr<const core::table_snapshot> second_table;
    table_watcher first({.store = &first_store, .timers = &timers, .publish = [&](auto table) {
                             first_table = std::move(table);
                         }});
    table_watcher second({.store = &second_store, .timers = &timers, .publish = [&](auto table) {
                              second_table = std::move(table);
                          }});
    first.start();
    first_store.answer(store_status::ok, 4, {service_at(3, "a", 2), service_at(4, "b")});
    CHECK(second.offer(*first.revision(), first.objects()) == offer_result::applied);
    CHECK(second.offer(*first.revision(), first.objects()) == offer_result::not_newer);
    REQUIRE(second_table != nullptr);
    CHECK(second_table->services == first_table->services);
    CHECK(second_table->revision == first_table->revision);
    CHECK_FALSE(second.last_heard().has_value());
    CHECK(first.last_heard().has_value());
}
