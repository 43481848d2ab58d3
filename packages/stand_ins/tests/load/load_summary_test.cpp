#include <catkintally/stand_ins/load/load_summary.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace std::chrono_literals;
using stand_ins::call_result;

TEST_CASE("the outcome header decides what a caller learns", "[load]")
{
    const auto [header, value, expected, final] =
        GENERATE(table<const char*, const char*, call_result, bool>(
            {{"x-other", "not-run", call_result::answered, true},
             {"Catkintally-Outcome", "not-run", call_result::refused_not_run, true},
             {"catkintally-outcome", "attempt-not-run", call_result::attempt_not_run, false},
             {"catkintally-outcome", "in-progress", call_result::in_progress, false},
             {"catkintally-outcome", "already-run", call_result::already_run, true},
             {"catkintally-outcome", "unknown", call_result::unknown, true},
             {"catkintally-outcome", "new-word", call_result::unknown, true}}));
    const runtime::http_response response{
        .outcome = runtime::http_outcome::answered,
        .status = 503,
        .headers = {{header, value}},
        .body = {}};
    CHECK(stand_ins::classify(response) == expected);
    CHECK(is_final(expected) == final);
    CHECK(stand_ins::classify({}) == call_result::no_answer);
}

TEST_CASE("quantiles use the smallest sample that covers the probability", "[load]")
{
    CHECK(stand_ins::quantile({}, 0.99) == 0us);
    CHECK(stand_ins::quantile({7us}, 0.5) == 7us);
    std::vector<core::duration> samples;
    for (int i = 100; i >= 1; --i)
    {
        samples.emplace_back(i);
    }
    CHECK(stand_ins::quantile(samples, 0.5) == 50us);
    CHECK(stand_ins::quantile(samples, 0.99) == 99us);
    CHECK(stand_ins::quantile(samples, 0.999) == 100us);
}

TEST_CASE("latencies count in the phase of the first sending", "[load]")
{
    stand_ins::load_summary summary({1s});
    summary.note_sent(true);
    summary.note_final(true, "k1", call_result::answered, 2, 900ms, 1500ms);
    summary.note_sent(false);
    summary.note_final(false, "k2", call_result::no_answer, 1, 1200ms, 3200ms);
    summary.note_sent(true);
    summary.note_final(true, "k3", call_result::already_run, 3, 1s, 4s);

    // Only answered requests end a gap.
    CHECK(summary.longest_gap() == 2500ms);
    const auto json = summary.to_json();
    const auto& order = json.at("classes").at("order").at("phases").as_array();
    CHECK(order.at(0).at("answered").as_uint64() == 1);
    CHECK(order.at(0).at("p50_ms").as_double() == Approx(600));
    CHECK(order.at(1).at("p99_ms").as_double() == Approx(3000));
    CHECK(json.at("totals").at("no_answer").as_uint64() == 1);
    CHECK(json.at("orders").at("k3").at("attempts").as_uint64() == 3);
    CHECK_FALSE(json.at("orders").as_object().contains("k2"));
}
