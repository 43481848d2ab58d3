#pragma once

#include <catkintally/core/news/reader_election.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

using namespace std::chrono_literals;

/// Simulates a fleet whose readers call the store every 0.7 s and report the outcome to all others.
/// Instances can be crashed, partitioned from the others or rejected by the store.
class fleet
{
public:
    /// Links come up within `linked_within` of the start, the first ones at once. The first
    /// `seeds` instances are seeds.
    explicit fleet(
        std::size_t size,
        duration linked_within = duration::zero(),
        std::size_t seeds = 0,
        std::uint64_t seed = 0,
        const std::function<link_speed(std::size_t)>& speed_of = {})
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            members_.push_back(std::make_unique<member>());
            member& added = *members_.back();
            added.name = "i" + std::to_string(index);
            added.linked_at =
                timers.now() + linked_within * static_cast<int>(index) / static_cast<int>(size);
            added.election = std::make_unique<reader_election>(reader_election_options{
                .timers = &timers,
                .self = added.name,
                .seed = seed * 10'000 + index + 1,
                .speed = speed_of ? speed_of(index) : link_speed::unknown,
                .is_seed = index < seeds,
                .instances = [size] { return size; },
                .on_reading_changed = [this, &added](bool reading) { set_reading(added, reading); },
                .announce = [this, &added](reader_state state) { report_state(added, state); },
                .on_store_returned = [this, &added] { ++returns[added.name]; }});
        }
        for (const auto& each : members_)
        {
            each->election->start();
        }
    }

    /// Number of instances that take the store for away.
    [[nodiscard]] std::size_t away_at() const
    {
        return static_cast<std::size_t>(std::count_if(
            members_.begin(), members_.end(),
            [](const auto& each) { return each->election->is_store_away(); }));
    }

    void run(duration time)
    {
        const time_point end = timers.now() + time;
        while (timers.now() < end)
        {
            timers.advance(10ms);
            for (const auto& each : members_)
            {
                const bool has_report = each->election->last_store_contact().has_value();
                const duration age = has_report
                                         ? timers.now() - *each->election->last_store_contact()
                                         : duration::zero();
                max_age =
                    !crashed.contains(each->name) && has_report ? std::max(max_age, age) : max_age;
            }
        }
    }

    [[nodiscard]] std::vector<std::string> readers() const
    {
        std::vector<std::string> names;
        for (const auto& each : members_)
        {
            if (each->election->is_reading() && !crashed.contains(each->name))
            {
                names.push_back(each->name);
            }
        }
        return names;
    }

    /// Crashes all readers and the first `others` instances, without notice to the others.
    void crash_readers(std::size_t others)
    {
        for (const std::string& name : readers())
        {
            crashed.insert(name);
        }
        for (std::size_t index = 0; index < others; ++index)
        {
            crashed.insert("i" + std::to_string(index));
        }
    }

    [[nodiscard]] bool is_fresh(const std::string& name) const
    {
        for (const auto& each : members_)
        {
            if (each->name == name)
            {
                return each->election->is_fresh();
            }
        }
        return false;
    }

    manual_timer_service timers;
    std::set<std::string> crashed;
    /// Partitioned instances: they neither send nor receive reports.
    std::set<std::string> partitioned;
    /// Instances that the store rejects.
    std::set<std::string> rejected;
    /// Instances whose calls time out.
    std::set<std::string> unanswered;
    bool store_down = false;
    /// The store does not answer; calls time out.
    bool store_unresponsive = false;
    /// Watches that begin now are not answered until they time out; other calls are.
    bool watches_silent = false;
    /// Time that the lists take which follow an instance's first call. 0: the first call answers
    /// for all kinds.
    duration list_time{};
    /// Instances whose first call is answered, and whose lists time out.
    std::set<std::string> unlisted;
    int calls = 0;
    /// How often an instance has noticed that the store returned from an outage, by its name.
    std::map<std::string, int> returns;
    /// Calls weighted by their price: an instance that the store has not answered makes calls that
    /// may be answered with stale data, at a tenth of the price.
    double price = 0;
    /// Number of times an instance started to read the store.
    int reader_starts = 0;
    /// Instances that started to read the store, in order.
    std::vector<std::string> started;
    /// Longest time without a reader's report of success at any live instance.
    duration max_age{};

private:
    static constexpr double attempt_price = 0.1;

    struct member
    {
        std::string name;
        /// The last call was answered.
        bool answered = false;
        std::unique_ptr<reader_election> election;
        timer_id next_call = 0;
        time_point linked_at{};
    };

    void set_reading(member& self, bool reading)
    {
        timers.cancel(self.next_call);
        self.next_call = 0;
        if (reading)
        {
            ++reader_starts;
            started.push_back(self.name);
            self.answered = false;
            self.next_call = timers.schedule_after(5ms, [this, &self] { call(self); });
        }
    }

    void call(member& self)
    {
        if (crashed.contains(self.name))
        {
            return;
        }
        ++calls;
        price += self.answered ? 1.0 : attempt_price;
        if (watches_silent && self.answered)
        {
            self.answered = false;
            self.next_call = timers.schedule_after(1600ms, [this, &self] { call(self); });
            return;
        }
        if (store_unresponsive || unanswered.contains(self.name))
        {
            // The call fails when it times out.
            self.next_call = timers.schedule_after(700ms, [this, &self] { end_call(self, false); });
            return;
        }
        const bool reached = !store_down && !rejected.contains(self.name);
        if (reached && !self.answered && list_time > duration::zero())
        {
            self.election->on_store_probed();
            const bool listed = !unlisted.contains(self.name);
            self.next_call = timers.schedule_after(
                listed ? list_time : 700ms, [this, &self, listed] { end_call(self, listed); });
            return;
        }
        end_call(self, reached);
    }

    void end_call(member& self, bool reached)
    {
        self.answered = reached;
        self.next_call =
            timers.schedule_after(store_unresponsive ? 20ms : 700ms, [this, &self] { call(self); });
        self.election->on_store_call(reached);
    }

    void report_state(const member& self, reader_state state)
    {
        // Delivered once the sender's links are up, as a new link is sent the state of readers
        // whose first call is pending.
        timers.schedule_after(
            std::max(self.linked_at - timers.now(), duration::zero()) + 15ms,
            [this, name = self.name, state]
            {
                for (const auto& each : members_)
                {
                    const bool receives = each->name != name && !crashed.contains(each->name) &&
                                          timers.now() >= each->linked_at &&
                                          !partitioned.contains(each->name) &&
                                          !partitioned.contains(name);
                    if (receives)
                    {
                        each->election->on_reader_state(name, state, 15ms);
                    }
                }
            });
    }

    std::vector<std::unique_ptr<member>> members_;
};

} // namespace catkintally::core
