#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/limits/limit_share.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkintally::core;

namespace
{

std::vector<instance_demand> fleet(std::size_t size, double busiest, std::uint64_t seed)
{
    split_mix random(seed);
    std::vector<instance_demand> demands;
    for (std::size_t index = 0; index < size; ++index)
    {
        const double part = static_cast<double>(random.next() % 1000) / 1000;
        demands.push_back(
            {.instance = random.next(), .failure_domain = index % 3, .per_second = busiest * part});
    }
    return demands;
}

} // namespace

// Guards against shares that exceed the limit together, in the long run or within 4 s, and against
// limits that no instance may use.
TEST_CASE("the shares of all instances add up to the limit")
{
    const auto size = GENERATE(1U, 3U, 13U, 127U, 471U);
    const auto limit = GENERATE(0.1, 0.5, 1.0, 1.1, 3.0, 40.0, 300.0, 5000.0);
    const auto busiest = GENERATE(0.0, 0.5, 5.0, 500.0);
    INFO(size << " instances, limit " << limit << ", demand up to " << busiest);
    const auto demands = fleet(size, busiest, size);
    for (std::uint64_t name = 1; name <= 20; ++name)
    {
        const limited_target target{.name = name, .failure_domain = name % 3, .per_second = limit};
        double rate = 0;
        double burst = 0;
        for (const instance_demand& each : demands)
        {
            const limit_share share = divide_limit(target, each, demands, 0);
            rate += share.per_second;
            burst += share.burst;
            CHECK((share.per_second == 0 || share.burst >= 1));
        }
        CHECK(rate == Approx(limit));
        CHECK(4 * rate + burst <= 6 * limit + 5);
    }
}

// Guards against a limit that only instances without callers may use.
TEST_CASE("instances with callers get the shares")
{
    std::vector<instance_demand> demands = fleet(13, 0, 1);
    demands[4].per_second = 50;
    const limited_target target{.name = 1, .failure_domain = 2, .per_second = 3};
    CHECK(divide_limit(target, demands[4], demands, 0).per_second > 0.9 * 3);
}

// Guards against shares that exceed the limit while most reports of the others are unknown.
TEST_CASE("instances without a report count as average ones")
{
    const auto limit = GENERATE(0.5, 3.0, 40.0);
    const auto demands = fleet(127, 5, 1);
    double rate = 0;
    double targets = 0;
    for (std::uint64_t name = 1; name <= 200; ++name)
    {
        ++targets;
        const limited_target target{.name = name, .failure_domain = name % 3, .per_second = limit};
        for (const instance_demand& each : demands)
        {
            rate += divide_limit(target, each, {each}, demands.size() - 1).per_second;
        }
    }
    CHECK(rate / targets <= 1.1 * limit);
}
