#include <catkintally/core/news/reader_election.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <vector>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// A fleet whose readers call a store every 0.7 s and tell everyone. Instances can be dead, cut off
/// from the others or turned away by the store.
class fleet
{
public:
    /// Links come up within `linked_within` of the start, the first ones at once.
    /// The first `seeds` instances are seeds.
    explicit fleet(
        std::size_t size, duration linked_within = duration::zero(), std::size_t seeds = 0)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            members_.push_back(std::make_unique<member>());
            member& added = *members_.back();
            added.name = "i" + std::to_string(index);
            added.linked_at =
                timers.now() + linked_within * static_cast<int>(index) / static_cast<int>(size);
            added.duty = std::make_unique<reader_election>(reader_election_options{
                .timers = &timers,
                .self = added.name,
                .seed = index + 1,
                .is_seed = index < seeds,
                .instances = [size] { return size; },
                .read = [this, &added](bool reading) { on_read(added, reading); }});
        }
        for (const auto& each : members_)
        {
            each->duty->start();
        }
    }

    void run(duration time)
    {
        const time_point end = timers.now() + time;
        while (timers.now() < end)
        {
            timers.advance(10ms);
            for (const auto& each : members_)
            {
                const bool news = each->duty->last_store_contact().has_value();
                const duration age =
                    news ? timers.now() - *each->duty->last_store_contact() : duration::zero();
                worst_age =
                    !dead.contains(each->name) && news ? std::max(worst_age, age) : worst_age;
            }
        }
    }

    [[nodiscard]] std::vector<std::string> readers() const
    {
        std::vector<std::string> names;
        for (const auto& each : members_)
        {
            if (each->duty->is_reading() && !dead.contains(each->name))
            {
                names.push_back(each->name);
            }
        }
        return names;
    }

    /// Lets all readers die without a sign, and the first `others` instances with them.
    void kill_readers(std::size_t others)
    {
        for (const std::string& name : readers())
        {
            dead.insert(name);
        }
        for (std::size_t index = 0; index < others; ++index)
        {
            dead.insert("i" + std::to_string(index));
        }
    }

    [[nodiscard]] bool is_fresh(const std::string& name) const
    {
        for (const auto& each : members_)
        {
            if (each->name == name)
            {
                return each->duty->is_fresh();
            }
        }
        return false;
    }

    manual_timer_service timers;
    std::set<std::string> dead;
    /// Instances whose words reach nobody and that hear nobody.
    std::set<std::string> alone;
    /// Instances that the store turns away.
    std::set<std::string> refused;
    bool store_down = false;
    /// Calls are not answered at all.
    bool store_silent = false;
    int calls = 0;
    /// How often an instance turned to the store.
    int volunteers = 0;
    /// Longest time without a reader's word at any living instance.
    duration worst_age{};

private:
    struct member
    {
        std::string name;
        std::unique_ptr<reader_election> duty;
        timer_id next_call = 0;
        time_point linked_at{};
    };

    void on_read(member& self, bool reading)
    {
        timers.cancel(self.next_call);
        self.next_call = 0;
        if (reading)
        {
            ++volunteers;
            tell(self, reader_state::asking);
            self.next_call = timers.schedule_after(5ms, [this, &self] { call(self); });
        }
    }

    void call(member& self)
    {
        if (dead.contains(self.name))
        {
            return;
        }
        ++calls;
        if (store_silent)
        {
            // The call fails when its time is over.
            self.next_call = timers.schedule_after(700ms, [this, &self] { end_call(self, false); });
            return;
        }
        end_call(self, !store_down && !refused.contains(self.name));
    }

    void end_call(member& self, bool reached)
    {
        self.next_call =
            timers.schedule_after(store_silent ? 20ms : 700ms, [this, &self] { call(self); });
        self.duty->on_store_call(reached);
        tell(self, reached ? reader_state::reached : reader_state::failed);
    }

    void tell(const member& self, reader_state state)
    {
        // Told on once the links are up; a new link is told of readers that ask already.
        timers.schedule_after(
            std::max(self.linked_at - timers.now(), duration::zero()) + 15ms,
            [this, name = self.name, state]
            {
                for (const auto& each : members_)
                {
                    const bool hears = each->name != name && !dead.contains(each->name) &&
                                       timers.now() >= each->linked_at &&
                                       !alone.contains(each->name) && !alone.contains(name);
                    if (hears)
                    {
                        each->duty->on_reader_state(name, state, 15ms);
                    }
                }
            });
    }

    std::vector<std::unique_ptr<member>> members_;
};

} // namespace

// Guards against a fleet in which each instance pays for calls of its own.
TEST_CASE("a calm fleet has a few readers whatever its size")
{
    const std::size_t size = GENERATE(1, 2, 13, 120);
    fleet all(size);
    all.run(10s);
    CHECK(all.readers().size() == std::min<std::size_t>(size, 2));
    const int before = all.calls;
    all.run(20s);
    CHECK(all.calls - before <= 2 * 30);
    CHECK(all.worst_age < 1500ms);
}

// Guards against a fleet that starts together, as after a loss of power, and lists the store once
// per instance.
TEST_CASE("few instances turn to the store when all start together")
{
    // Without a living seed no instance finds another one, and each must read the store.
    const std::size_t size = GENERATE(13, 120, 471);
    const std::size_t seeds = GENERATE(1, 3);
    fleet all(size, duration::zero(), seeds);
    all.run(500ms);
    INFO(all.calls << " calls");
    CHECK(all.calls >= 1);
    CHECK(static_cast<std::size_t>(all.calls) <= size / 3);
    for (std::size_t index = 0; index < size; ++index)
    {
        CHECK(all.is_fresh("i" + std::to_string(index)));
    }
}

// Guards against a large fleet that returns from a loss of power and turns to the store as a whole,
// because the links over which the first reader could tell the others take a moment to come up. A
// day's calls are to stay under 400, and each instance that turns to the store makes about five.
TEST_CASE("few of hundreds of instances turn to the store after a herd start")
{
    const std::size_t size = GENERATE(13, 117, 471, 2413);
    const std::size_t seeds = GENERATE(0, 3);
    fleet all(size, 400ms, seeds);
    all.run(1500ms);
    INFO(all.volunteers << " instances turned to the store");
    CHECK(all.volunteers <= 40);
    for (std::size_t index = 0; index < size; ++index)
    {
        CHECK(all.is_fresh("i" + std::to_string(index)));
    }
}

// Guards against a small fleet that waits for the store as long as a large one has to: its few
// instances would all draw late times.
TEST_CASE("the seeds of a starting fleet turn to the store at once, whatever its size")
{
    const std::size_t size = GENERATE(3, 13, 471);
    fleet all(size, duration::zero(), 3);
    all.run(70ms);
    CHECK(all.calls >= 1);
    all.run(50ms);
    for (std::size_t index = 0; index < size; ++index)
    {
        CHECK(all.is_fresh("i" + std::to_string(index)));
    }
}

// Guards against instances that turn to the store at a herd start although a neighbour is about to
// answer, and against one that waits for such an answer for ever.
TEST_CASE("an instance that starts waits once for a neighbour that is to answer")
{
    const bool awaits = GENERATE(false, true);
    manual_timer_service timers;
    int reads = 0;
    reader_election duty(
        {.timers = &timers,
         .self = "i1",
         .seed = 1,
         .start_spread = 1s,
         .instances = [] { return std::size_t{1}; },
         .read = [&](bool reading) { reads += reading ? 1 : 0; },
         .awaits_update = [&] { return awaits; }});
    duty.start();
    timers.advance(1s);
    CHECK(reads == (awaits ? 0 : 1));
    timers.advance(1s);
    CHECK(reads == 1);
}

// Guards against instances that run on old news after their readers died without a sign: a change
// must be in force within two seconds, also at that moment.
TEST_CASE("readers that fall silent are replaced before news are two seconds old")
{
    const std::size_t size = GENERATE(3, 13, 120);
    const bool herd = GENERATE(false, true);
    fleet all(size);
    all.run(10s);
    for (int round = 0; round < 3 && all.dead.size() + 3 < size; ++round)
    {
        all.kill_readers(herd ? size / 4 : 0);
        all.run(4s);
        CHECK(all.worst_age < 1800ms);
        CHECK(!all.readers().empty());
    }
}

// Guards against a fleet that turns to the store as a whole when its readers die.
TEST_CASE("few instances turn to the store when the readers fall silent")
{
    const std::size_t size = GENERATE(3, 13, 120);
    const bool herd = GENERATE(false, true);
    fleet all(size);
    all.run(10s);
    for (int round = 0; round < 3 && all.dead.size() + 3 < size; ++round)
    {
        all.kill_readers(herd ? size / 4 : 0);
        const int before = all.calls;
        all.run(4s);
        CHECK(all.calls - before < 60);
    }
}

// Guards against an instance that trusts silence when it is cut off from the others.
TEST_CASE("an instance that hears nobody reads the store itself")
{
    fleet all(13);
    all.run(10s);
    all.alone = {"i3", "i7"};
    all.run(5s);
    CHECK(all.worst_age < 1800ms);
    const auto readers = all.readers();
    for (const char* name : {"i3", "i7"})
    {
        CHECK(std::count(readers.begin(), readers.end(), name) == 1);
        CHECK(all.is_fresh(name));
    }
    // Back among the others, the surplus readers end.
    all.alone.clear();
    all.run(10s);
    CHECK(all.readers().size() == 2);
}

// Guards against a fleet that loses the store because it turns its readers away.
TEST_CASE("readers that the store turns away are replaced by others")
{
    fleet all(13);
    all.run(10s);
    for (int round = 0; round < 2; ++round)
    {
        for (const std::string& name : all.readers())
        {
            all.refused.insert(name);
        }
        all.run(4s);
        CHECK(all.worst_age < 1800ms);
        const auto readers = all.readers();
        CHECK(std::any_of(
            readers.begin(), readers.end(),
            [&](const auto& name) { return !all.refused.contains(name); }));
    }
}

// Guards against a fleet that turns to a silent store as a whole: nobody hears that a call failed
// before its time is over, and by then all had asked.
TEST_CASE("few instances ask a store that falls silent, and its return is noticed")
{
    const std::size_t size = GENERATE(13, 120, 471);
    fleet all(size);
    all.run(10s);
    all.store_silent = true;
    const int before = all.calls;
    all.run(3s);
    INFO(all.calls - before << " calls");
    CHECK(all.calls - before <= 40);
    all.run(5s);
    all.store_silent = false;
    all.run(1s);
    for (std::size_t index = 0; index < size; ++index)
    {
        CHECK(all.is_fresh("i" + std::to_string(index)));
    }
    all.run(10s);
    CHECK(all.readers().size() == 2);
}

// Guards against a fleet that multiplies its calls while the store is down, and against one that
// does not notice its return.
TEST_CASE("few instances ask an absent store and its return is noticed")
{
    const std::size_t size = GENERATE(13, 120);
    fleet all(size);
    all.run(10s);
    all.store_down = true;
    const int before = all.calls;
    all.run(10s);
    const int during = all.calls - before;
    INFO(during << " calls");
    // About four instances ask every 0.7 s, and one more joins each second.
    CHECK(during >= 20);
    CHECK(during < 250);
    all.store_down = false;
    all.run(1s);
    for (std::size_t index = 0; index < size; ++index)
    {
        CHECK(all.is_fresh("i" + std::to_string(index)));
    }
    all.run(10s);
    CHECK(all.readers().size() == 2);
}
