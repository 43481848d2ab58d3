#include "recorded_crash_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// Attempts that the platform's rules allow later than the contact time after the third crash.
constexpr std::size_t allowed_attempts = 3;

enum class outage : std::uint8_t
{
    none,
    /// The store refuses every write.
    writes_refused,
    /// The store is down while the request crashes targets, and back before the restart.
    during_crashes,
    /// As before; the instance that saw the crashes is replaced before the store is back.
    observer_replaced
};

struct row
{
    const char* name;
    outage store;
    /// Restarts of all instances. Without writes, each costs two crashes.
    int restarts;
};

} // namespace

// Guards against a request that crashes targets again after each restart of all instances, because
// what is known of it ends with the processes.
TEST_CASE("a restart of all instances does not make a crashing request forgotten")
{
    const auto each = GENERATE(
        row{"records are written", outage::none, 6},
        row{"all writes are refused", outage::writes_refused, 2},
        row{"the store is away during the crashes", outage::during_crashes, 6},
        row{"the observer is gone before the store is back", outage::observer_replaced, 6});
    const std::size_t size = GENERATE(4, 13, 471);
    INFO(each.name << ", " << size << " instances");
    recorded_crash_fleet fleet(size);
    fleet.store.refuses_writes = each.store == outage::writes_refused;
    const bool away =
        each.store == outage::during_crashes || each.store == outage::observer_replaced;
    fleet.set_down(away);
    fleet.send_often(4);
    CHECK(fleet.crashes.size() == (each.store == outage::none ? 3 : 2));
    CHECK(fleet.refusing() == size);
    if (each.store == outage::observer_replaced)
    {
        fleet.restart(fleet.last_observer);
    }
    fleet.set_down(false);
    fleet.timers.advance(63s);
    fleet.send_often(2);
    for (int restart = 0; restart < each.restarts; ++restart)
    {
        fleet.restart_all();
        fleet.send_often(6);
        fleet.timers.advance(63s);
        fleet.send_often(2);
    }
    CHECK(fleet.late() <= allowed_attempts);
    CHECK(fleet.store.calls <= 40 * static_cast<std::size_t>(each.restarts + 1));
}

// Guards against an attempt that is made although it is not on record: it would be made again after
// a restart of all instances, and by instances that do not hear of each other.
TEST_CASE("an attempt after a quiet time is on record before it is made")
{
    const bool refuses_writes = GENERATE(false, true);
    INFO((refuses_writes ? "writes are refused" : "writes are taken"));
    recorded_crash_fleet fleet(13);
    fleet.send_often(4);
    REQUIRE(fleet.crashes.size() == 3);
    fleet.store.refuses_writes = refuses_writes;
    // The quiet times of two attempts, and then two days.
    for (const duration quiet : {duration(63s), duration(125s), duration(48h)})
    {
        fleet.timers.advance(quiet);
        fleet.send_often(3);
    }
    CHECK(fleet.attempts.size() == (refuses_writes ? 3 : 5));
    CHECK(fleet.late() <= allowed_attempts);
}

// Guards against a request that stays refused, in the store or by one instance, after a target has
// responded to it.
TEST_CASE("the record of an answered request is removed")
{
    const bool refuses_removal = GENERATE(false, true);
    INFO((refuses_removal ? "the first removal is refused" : "the removal is taken"));
    recorded_crash_fleet fleet(13);
    fleet.send_often(4);
    REQUIRE(fleet.store.objects.size() == 1);
    fleet.repaired = true;
    fleet.timers.advance(63s);
    const std::size_t attempts = fleet.attempts.size();
    fleet.timers.schedule_after(550ms, [&] { fleet.store.refuses_writes = refuses_removal; });
    fleet.send(5);
    REQUIRE(fleet.attempts.size() == attempts + 1);
    CHECK(fleet.pending() == (refuses_removal ? 1 : 0));
    fleet.store.refuses_writes = false;
    fleet.timers.advance(10s);
    CHECK(fleet.store.objects.empty());
    CHECK(fleet.pending() == 0);
    CHECK(fleet.refusing() == 0);
    fleet.restart_all();
    fleet.send_often(3);
    CHECK(fleet.attempts.size() == attempts + 4);
}

// Guards against records that fill the store, and against calls without end while it is down.
TEST_CASE("the records in the store and the calls of an outage are bounded")
{
    recorded_crash_fleet fleet(2);
    for (std::uint64_t fingerprint = 100; fingerprint < 1'500; ++fingerprint)
    {
        const std::string key = "records/" + std::to_string(fingerprint);
        fleet.store.objects[key] = {.key = key, .version = fingerprint, .value = "3"};
    }
    fleet.restart_all();
    CHECK(fleet.store.objects.size() == crash_records::capacity);
    CHECK_FALSE(fleet.store.objects.contains("records/100"));
    CHECK(fleet.store.objects.contains("records/1499"));
    CHECK(fleet.refusing(1'499) == 2);
    fleet.set_down(true);
    fleet.send_often(3);
    const std::size_t calls = fleet.store.calls;
    fleet.timers.advance(1h);
    CHECK(fleet.store.calls - calls <= 150);
}
