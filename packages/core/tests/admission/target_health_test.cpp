#include <catkintally/core/admission/target_health.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against a failing target that keeps its share of the work, and against one that is back
// but stays unused.
TEST_CASE("each failure in a row ejects a target for longer, up to a bound")
{
    target_health health;
    time_point now{};
    std::vector<std::int64_t> pauses;
    for (int failure = 0; failure < 6; ++failure)
    {
        health.failed(now);
        // Further requests that were in flight do not prolong the pause.
        health.failed(now);
        const time_point begin = now;
        while (health.is_ejected(now))
        {
            now += 100ms;
        }
        pauses.push_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - begin).count());
    }
    CHECK(pauses == std::vector<std::int64_t>{1500, 3000, 6000, 6000, 6000, 6000});
    health.succeeded();
    health.failed(now);
    CHECK_FALSE(health.is_ejected(now + 1500ms));
}

// Guards against a cold target that gets more requests than it can carry.
TEST_CASE("a cold target takes a request only every interval")
{
    target_health health;
    const time_point start{};
    health.set_cold_until(start + 3s);
    int sent = 0;
    for (time_point now = start; now < start + 3s; now += 10ms)
    {
        if (health.may_take(now, 700ms))
        {
            health.sent(now);
            ++sent;
        }
    }
    CHECK(sent == 5);
    CHECK(health.may_take(start + 3s, 700ms));
    health.sent(start + 3s);
    CHECK(health.may_take(start + 3s, 700ms));
}
