#include <catkintally/core/admission/target_health.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against a failing target that still receives its share of the requests, and against a
// recovered target that stays unused.
TEST_CASE("each consecutive failure ejects a target for longer, up to a maximum")
{
    target_health health;
    time_point now{};
    std::vector<std::int64_t> ejection_times;
    for (int failure = 0; failure < 6; ++failure)
    {
        health.failed(now);
        // Failures of other requests in flight do not extend the ejection.
        health.failed(now);
        const time_point begin = now;
        while (health.is_ejected(now))
        {
            now += 100ms;
        }
        ejection_times.push_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - begin).count());
    }
    CHECK(ejection_times == std::vector<std::int64_t>{1500, 3000, 6000, 6000, 6000, 6000});
    health.succeeded();
    health.failed(now);
    CHECK_FALSE(health.is_ejected(now + 1500ms));
}

// Guards against a cold target that receives more requests than it can handle.
TEST_CASE("a cold target takes only one request per interval")
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
