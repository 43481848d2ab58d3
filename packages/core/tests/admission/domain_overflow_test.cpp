#include <catkintally/core/admission/domain_overflow.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

/// The overflow of an instance in domain "a" of "a" to "d", with ten candidates in each other one.
struct overflow_fixture
{
    void probe(const std::string& domain, int usable_of_ten, double relative_time = 1)
    {
        for (int number = 0; number < 10; ++number)
        {
            overflow.record_probe(
                domain,
                {.usable = number < usable_of_ten,
                 .relative_time = relative_time,
                 .round_trip = domain == "a" ? 500us : far_round_trip},
                now);
        }
    }

    std::vector<remote_candidate> ask(std::uint32_t round, bool first = false)
    {
        std::vector<remote_candidate> candidates;
        for (std::size_t index = 0; index < 30; ++index)
        {
            candidates.push_back(
                {.domain = std::string(1, "bcd"[index % 3]), .rank = 100 - index, .index = index});
        }
        overflow_question question;
        question.round = round;
        question.first = first;
        question.kilobytes = kilobytes;
        question.objective_left = 800ms;
        question.probing_time = 400ms;
        return overflow.choose(
            question, has_candidates ? candidates : decltype(candidates){}, 30, now);
    }

    /// Ten requests a second with these outcomes at home and elsewhere.
    void live(duration span, int usable_at_home, int usable_elsewhere, double home_time = 1)
    {
        for (const time_point end = now + span; now < end; now += 100ms)
        {
            probe("a", usable_at_home, home_time);
            for (const char* each : {"b", "c", "d"})
            {
                probe(each, usable_elsewhere);
            }
            if (!ask(0, true).empty())
            {
                overflow.record_departure(now);
            }
        }
    }

    std::vector<bool> changes;
    domain_overflow overflow{
        {.home = "a", .seed = 5, .changed = [this](bool active) { changes.push_back(active); }}};
    time_point now{1h};
    duration far_round_trip = 2300us;
    double kilobytes = 4;
    bool has_candidates = true;
};

} // namespace

// Guards against requests that wait at home beside free slots elsewhere, and against ones that go
// elsewhere although it costs more than it gains.
TEST_CASE("a later round leaves the domain if that is the cheaper way")
{
    struct row
    {
        const char* name;
        std::function<void(overflow_fixture&)> arrange;
        bool leaves;
    };
    const std::vector<row> rows = {
        {"nothing is known", [](auto&) {}, false},
        {"home has room", [](auto& each) { each.probe("a", 7); }, false},
        {"home is short, nothing is known of others", [](auto& each) { each.probe("a", 0); }, true},
        {"home is short, others have room",
         [](auto& each)
         {
             each.probe("a", 1);
             each.probe("a", 1);
             each.probe("b", 7);
         },
         true},
        {"all are short",
         [](auto& each)
         {
             for (const char* name : {"a", "b", "c", "d"})
             {
                 each.probe(name, 0);
             }
         },
         false},
        {"home is slow, others are not",
         [](auto& each)
         {
             each.probe("a", 7, 5);
             each.probe("b", 7);
         },
         true},
        {"home is short, others are slow",
         [](auto& each)
         {
             each.probe("a", 1);
             for (const char* name : {"b", "c", "d"})
             {
                 each.probe(name, 7, 5);
             }
         },
         false},
        {"home is short, others are far away",
         [](auto& each)
         {
             each.far_round_trip = 200ms;
             each.probe("a", 1);
             for (const char* name : {"b", "c", "d"})
             {
                 each.probe(name, 9);
             }
         },
         false},
        {"home is short, the request is large",
         [](auto& each)
         {
             each.kilobytes = 8'000;
             each.probe("a", 1);
             each.probe("b", 7);
         },
         false},
        {"no other domain has a target",
         [](auto& each)
         {
             each.has_candidates = false;
             each.probe("a", 0);
         },
         false},
        {"the shortage is over",
         [](auto& each)
         {
             each.probe("a", 0);
             each.now += 20s;
         },
         false}};
    for (const row& each : rows)
    {
        INFO(each.name);
        overflow_fixture fixture;
        each.arrange(fixture);
        CHECK(fixture.ask(1).empty() != each.leaves);
        CHECK(fixture.ask(0).empty());
        CHECK(fixture.ask(0, true).empty());
    }
}

// Guards against a fraction that jumps: the instances of a domain decide from the same state, and
// would all leave and return at once.
TEST_CASE("the fraction of first rounds changes slowly, and returns")
{
    overflow_fixture fixture;
    const auto fraction_after = [&](duration span, int home, int elsewhere, double home_time)
    {
        fixture.live(span, home, elsewhere, home_time);
        return fixture.overflow.fraction();
    };
    CHECK(fraction_after(10s, 7, 7, 1) == 0);
    CHECK(fraction_after(1s, 5, 8, 1.5) <= 0.1);
    CHECK(fraction_after(9s, 5, 8, 1.5) >= 0.4);
    CHECK(fraction_after(60s, 5, 8, 1.5) <= 0.8);
    SECTION("when home recovers")
    {
        CHECK(fraction_after(1s, 8, 8, 1) >= 0.5);
        CHECK(fraction_after(9s, 8, 8, 1) == 0);
    }
    SECTION("when the other domains become short too")
    {
        fixture.live(10s, 0, 0);
        CHECK(fixture.overflow.fraction() <= 0.4);
        CHECK(fixture.ask(0, true).empty());
    }
    SECTION("when no request comes for a time")
    {
        fixture.now += 20s;
        CHECK(fixture.ask(0, true).empty());
        CHECK(fixture.overflow.fraction() == 0);
    }
}

// Guards against a short domain that fills another one instead of all, against probes of domains
// that are known to be short, and against a new connection for each request that leaves.
TEST_CASE("requests that leave are spread over the domains and use a stable subset of targets")
{
    overflow_fixture fixture;
    std::map<std::string, std::size_t> by_domain;
    std::set<std::size_t> used;
    for (int number = 0; number < 300; ++number)
    {
        fixture.probe("a", 0);
        fixture.probe("b", 7);
        fixture.probe("c", 7);
        fixture.probe("d", 0);
        const auto chosen = fixture.ask(1);
        REQUIRE(chosen.size() == 3);
        for (const remote_candidate& each : chosen)
        {
            ++by_domain[each.domain];
            used.insert(each.index);
        }
    }
    CHECK(by_domain["b"] > 300);
    CHECK(by_domain["c"] > 300);
    CHECK(by_domain["d"] < 45);
    // Four of each domain, and twice as many in the second round.
    CHECK(used.size() <= 24);
    CHECK(*used.begin() >= 6);
}

// Guards against a log event for each request.
TEST_CASE("the start and the end of an overflow are announced once")
{
    overflow_fixture fixture;
    fixture.live(20s, 5, 8, 1.5);
    CHECK(fixture.changes == std::vector<bool>{true});
    fixture.live(20s, 8, 8);
    CHECK(fixture.changes == std::vector<bool>{true, false});
}
