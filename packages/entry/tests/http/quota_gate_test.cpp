#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/http/quota_gate.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

// Guards against requests that start without a token, tokens that are lost with their requests, and
// requests that are never answered.
TEST_CASE("requests pass the gate with a token, and tokens that are not used are returned")
{
    struct row
    {
        const char* name;
        const char* organisation;
        std::optional<core::quota_decision> at_once;
        bool caller_goes;
        std::optional<core::quota_decision> later;
        int started;
        int refused;
        int given_up;
        int refunded;
    };
    const core::quota_decision token{};
    const core::quota_decision later_token{.wait = 50ms};
    const core::quota_decision none{.admitted = false, .retry_after = 80ms};
    const std::vector<row> rows = {
        {"no organisation", "", std::nullopt, false, std::nullopt, 1, 0, 0, 0},
        {"token", "a", token, false, std::nullopt, 1, 0, 0, 0},
        {"token that is due", "a", later_token, false, std::nullopt, 1, 0, 0, 0},
        {"no token", "a", none, false, std::nullopt, 0, 1, 0, 0},
        {"borrowed token", "a", std::nullopt, false, token, 1, 0, 0, 0},
        {"none to borrow", "a", std::nullopt, false, none, 0, 1, 0, 0},
        {"caller goes before the token is due", "a", later_token, true, std::nullopt, 0, 0, 1, 1},
        {"caller goes before the borrowed token comes", "a", std::nullopt, true, token, 0, 0, 1, 1},
        {"caller goes, and there is none", "a", std::nullopt, true, none, 0, 0, 1, 0}};
    for (const row& each : rows)
    {
        INFO(each.name);
        core::manual_timer_service timers;
        std::function<void(const core::quota_decision&)> answer;
        int started = 0;
        int refused = 0;
        int given_up = 0;
        int refunded = 0;
        const quota_hooks hooks{
            .take =
                [&](const std::string&, core::duration, const auto& done)
            {
                if (each.at_once)
                {
                    done(*each.at_once);
                }
                else
                {
                    answer = done;
                }
            },
            .refund = [&](const std::string&) { ++refunded; }};
        quota_gate gate(timers, hooks);
        pending_request call(caller_request{}, [](const caller_response&) {});
        gate.enter(
            call, each.organisation, 400ms,
            {.start = [&](core::duration) { ++started; },
             .refuse = [&](core::duration) { ++refused; },
             .give_up = [&] { ++given_up; }});
        if (each.caller_goes)
        {
            call.notify_disconnect();
        }
        if (each.later)
        {
            answer(*each.later);
        }
        timers.advance(1s);
        CHECK(started == each.started);
        CHECK(refused == each.refused);
        CHECK(given_up == each.given_up);
        CHECK(refunded == each.refunded);
        CHECK(gate.waiting() == 0);
    }
}
