#include <catkintally/core/news/fleet_size_estimator.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t domains = 6;

/// A fleet in which each instance has links to two others of its domain and to one elsewhere, as
/// news_exchange makes them, and reports over them once a second. A new census is passed on at
/// once.
class fleet
{
public:
    explicit fleet(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            add();
        }
        link();
    }

    void add()
    {
        counts_.push_back(std::make_unique<fleet_size_estimator>(fleet_size_estimator_options{
            .timers = &timers, .seed = counts_.size() + 1, .may_be_only_instance = false}));
    }

    /// Chooses new links among the living.
    void link()
    {
        links_.assign(counts_.size(), {});
        for (std::size_t index = 0; index < counts_.size(); ++index)
        {
            if (dead.contains(index))
            {
                continue;
            }
            for (int near = 0; near < 2; ++near)
            {
                connect(
                    index,
                    living([&](std::size_t other) { return other % domains == index % domains; }));
            }
            connect(index, living([](std::size_t) { return true; }));
        }
    }

    void run(duration time)
    {
        for (const time_point end = timers.now() + time; timers.now() < end;)
        {
            timers.advance(1s);
            for (std::size_t index = 0; index < counts_.size(); ++index)
            {
                if (!dead.contains(index))
                {
                    counts_[index]->advance();
                    tell(index);
                }
            }
        }
    }

    /// Smallest and largest estimate relative to the number of the living; `near` of the own
    /// domain.
    struct spread
    {
        double least = 1e9;
        double most = 0;
        std::size_t unknown = 0;
    };
    [[nodiscard]] spread estimates(bool near) const
    {
        spread found;
        for (std::size_t index = 0; index < counts_.size(); ++index)
        {
            if (dead.contains(index))
            {
                continue;
            }
            const auto size = counts_[index]->size();
            if (!size)
            {
                ++found.unknown;
                continue;
            }
            std::size_t living = 0;
            for (std::size_t other = 0; other < counts_.size(); ++other)
            {
                const bool counted = !near || other % domains == index % domains;
                living += counted && !dead.contains(other) ? 1 : 0;
            }
            const auto known = static_cast<double>(near ? size->near : size->near + size->far);
            found.least = std::min(found.least, known / static_cast<double>(living));
            found.most = std::max(found.most, known / static_cast<double>(living));
        }
        return found;
    }

    manual_timer_service timers;
    std::set<std::size_t> dead;

private:
    /// A living instance for which the condition holds.
    template <class Condition>
    std::size_t living(Condition condition)
    {
        std::size_t chosen = random_.next() % counts_.size();
        while (dead.contains(chosen) || !condition(chosen))
        {
            chosen = random_.next() % counts_.size();
        }
        return chosen;
    }

    void connect(std::size_t one, std::size_t other)
    {
        if (one != other && !dead.contains(one) && !dead.contains(other))
        {
            links_[one].insert(other);
            links_[other].insert(one);
        }
    }

    void tell(std::size_t from)
    {
        const size_estimate_report report = counts_[from]->report();
        for (const std::size_t to : links_[from])
        {
            if (!dead.contains(to) && counts_[to]->merge(report, to % domains == from % domains) ==
                                          size_estimate_change::epoch)
            {
                tell(to);
            }
        }
    }

    std::vector<std::unique_ptr<fleet_size_estimator>> counts_;
    std::vector<std::set<std::size_t>> links_;
    split_mix random_{7};
};

} // namespace

// Guards against shares of the fleet's retries and of cold targets that add up to more than the
// whole: a sample of addresses knew 28 of 100 instances at 471 and 8 of 100 at 2413. Four fifths of
// the allowance are dealt out, so an estimate may be a fifth too low.
TEST_CASE("every instance finds the size of the fleet within a fifth")
{
    const std::size_t size = GENERATE(13, 127, 471, 2413);
    fleet all(size);
    all.run(20s);
    for (int census = 0; census < 3; ++census)
    {
        const auto whole = all.estimates(false);
        INFO(size << " instances: " << whole.least << " to " << whole.most);
        CHECK(whole.unknown == 0);
        CHECK(whole.least > 0.8);
        CHECK(whole.most < 1.25);
        const auto near = all.estimates(true);
        INFO("own domain: " << near.least << " to " << near.most);
        CHECK(near.least > 0.65);
        CHECK(near.most < 1.5);
        all.run(8s);
    }
}

// Guards against a fleet that believes itself small while it starts: until the first census has
// settled, an instance knows no size, or one that is not too small.
TEST_CASE("no instance takes a starting fleet for a small one")
{
    const std::size_t size = GENERATE(13, 127, 471, 2413);
    fleet all(size);
    for (int second = 0; second < 20; ++second)
    {
        all.run(1s);
        const auto found = all.estimates(false);
        INFO(size << " instances after " << second + 1 << " s: " << found.least);
        CHECK(found.least > 0.8);
        CHECK((second < 8 || found.unknown == 0));
    }
}

// Guards against a size that falls before the instances are certain to be gone, and against one
// that never falls.
TEST_CASE("instances that are gone stop to count after two censuses, those that join count")
{
    const std::size_t size = GENERATE(127, 471);
    fleet all(size);
    all.run(20s);
    for (std::size_t index = 0; index < size; index += 3)
    {
        all.dead.insert(index);
    }
    all.link();
    for (int second = 0; second < 30; ++second)
    {
        all.run(1s);
        CHECK(all.estimates(false).least > 0.8);
    }
    CHECK(all.estimates(false).most < 1.25);
    for (std::size_t index = 0; index < size / 8; ++index)
    {
        all.add();
    }
    all.link();
    all.run(20s);
    const auto found = all.estimates(false);
    INFO(size << " instances: " << found.least << " to " << found.most);
    CHECK(found.unknown == 0);
    CHECK(found.least > 0.8);
}

// Guards against an instance that takes itself for the whole fleet, and its share for the whole
// allowance, because it is cut off from the others.
TEST_CASE("an instance that hears nobody keeps the size that it knew")
{
    const bool knew = GENERATE(false, true);
    const bool may_be_only_instance = GENERATE(false, true);
    manual_timer_service timers;
    fleet_size_estimator cut_off(
        {.timers = &timers, .seed = 1, .may_be_only_instance = may_be_only_instance});
    if (knew)
    {
        size_estimate_report report = cut_off.report();
        report.all_found = {400, 400};
        report.near_found = {80, 80};
        cut_off.merge(report, true);
        cut_off.advance();
    }
    for (int second = 0; second < 60; ++second)
    {
        timers.advance(1s);
        cut_off.advance();
    }
    const auto size = cut_off.size();
    if (may_be_only_instance)
    {
        REQUIRE(size);
        CHECK(size->near == 1);
        CHECK(size->far == 0);
    }
    else if (knew)
    {
        REQUIRE(size);
        CHECK(size->near + size->far >= 400);
    }
    else
    {
        CHECK_FALSE(size);
    }
}
