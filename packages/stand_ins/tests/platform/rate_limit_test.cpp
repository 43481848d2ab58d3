#include <catkintally/stand_ins/platform/rate_limit.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace std::chrono_literals;

// Guards against a stand-in that is more generous than the platform's published limits.
TEST_CASE("the rate limit refuses calls above its rate, and charges count")
{
    core::time_point now{};
    stand_ins::rate_limit limit(10, now);
    for (int i = 0; i < 10; ++i)
    {
        CHECK(limit.take(now));
    }
    CHECK_FALSE(limit.take(now));
    now += 100ms;
    CHECK(limit.take(now));
    CHECK_FALSE(limit.take(now));
    limit.charge(now);
    now += 100ms;
    CHECK_FALSE(limit.take(now));
    now += 100ms;
    CHECK(limit.take(now));
}
