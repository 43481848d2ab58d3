#include <catkintally/core/admission/loss_watch.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

const target_key here("desk", "t0");

/// A loss_watch over targets whose probe reports the test sets; a target without one does not
/// answer.
struct watch_fixture
{
    watch_fixture()
    {
        watch.emplace(loss_watch_options{
            .timers = &timers,
            .probe =
                [this](const target_key& target, const std::function<void(probe_report)>& done)
            {
                ++checks;
                const auto found = reports.find(target);
                if (found != reports.end() && ++asked > unanswered)
                {
                    timers.schedule_after(2ms, [done, report = found->second] { done(report); });
                }
            },
            .reach =
                [this](const target_key& target, const std::function<void()>& ended)
            {
                if (reachable.contains(target))
                {
                    timers.schedule_after(2ms, ended);
                }
            },
            .lost = [this](request_id id, loss_cause cause) { lost[id] = cause; }});
    }

    /// Sets what the target answers: `count` requests run there.
    probe_report& report(const target_key& target, std::uint32_t count)
    {
        reachable.insert(target);
        probe_report& out = reports[target];
        out.answered = true;
        out.healthy = true;
        out.name = target.second;
        out.load = load_report{.running = count, .slots = 2};
        return out;
    }

    manual_timer_service timers;
    std::map<target_key, probe_report> reports;
    /// Targets to which a new connection comes up.
    std::set<target_key> reachable;
    std::map<request_id, loss_cause> lost;
    int checks = 0;
    /// The first checks that get no answer although the target answers later ones.
    int unanswered = 0;
    int asked = 0;
    std::optional<loss_watch> watch;
};

} // namespace

// Guards against callers that wait until their deadline for a target that lost power. In a
// simulated day, 123 lookups waited 1.1 s each.
TEST_CASE("requests at a target that does not answer checks are lost")
{
    watch_fixture all;
    all.watch->sent(1, here, 80ms);
    all.timers.advance(30ms);
    all.watch->sent(2, here, 80ms);
    all.watch->sent(3, {"desk", "t1"}, 1s);
    all.timers.advance(140ms);
    CHECK(
        all.lost == std::map<request_id, loss_cause>{
                        {1, loss_cause::target_silent}, {2, loss_cause::target_silent}});
    // What was lost is not reported again.
    all.timers.advance(600ms);
    CHECK(all.lost.size() == 2);
}

// Guards against work that is repeated because a busy target takes long, and against checks that
// grow in number with the time a request takes.
TEST_CASE("a target that answers checks keeps its requests")
{
    watch_fixture all;
    all.report(here, 1);
    all.watch->sent(1, here, 80ms);
    all.timers.advance(3s);
    CHECK(all.lost.empty());
    CHECK(all.checks <= 6);
    CHECK(all.watch->ended(1));
    const int before = all.checks;
    all.timers.advance(3s);
    CHECK(all.checks == before);
}

// Guards against a request that ends in time and costs a check all the same.
TEST_CASE("a request that ends in time is not checked")
{
    watch_fixture all;
    all.watch->sent(1, here, 80ms);
    all.timers.advance(79ms);
    CHECK_FALSE(all.watch->ended(1));
    all.timers.advance(1s);
    CHECK(all.checks == 0);
}

// Guards against work that is repeated because a target is too full to answer a check. In a
// simulated day, 271 requests were moved away from busy targets.
TEST_CASE("a target that answers no check but can be reached keeps its requests")
{
    watch_fixture all;
    all.reachable.insert(here);
    all.watch->sent(1, here, 80ms);
    all.timers.advance(1s);
    CHECK(all.lost.empty());
}

// Guards against requests that are moved away from a busy target because it resets the connection
// of the check. In a simulated day, 178 requests were moved.
TEST_CASE("a check that fails at once is no proof")
{
    watch_fixture all;
    all.report(here, 1).answered = false;
    all.watch->sent(1, here, 80ms);
    all.timers.advance(1s);
    CHECK(all.lost.empty());
}

// Guards against a process that was paused and takes every target for silent when it runs again.
TEST_CASE("a pause of the own process is not taken for silence of the target")
{
    watch_fixture all;
    all.report(here, 1);
    // The answers of the first checks are still unread when the late timers run.
    all.unanswered = 2;
    all.watch->sent(1, here, 80ms);
    all.timers.advance(100ms);
    all.timers.pause(3s);
    all.timers.advance(1s);
    CHECK(all.lost.empty());
}

// Guards against requests that a full target dropped without a word: they are not among those that
// it reports, while every target that runs them does report them.
TEST_CASE("requests that the target does not report are lost")
{
    struct row
    {
        const char* name;
        std::uint32_t reported;
        std::vector<request_id> lost;
    };
    const auto each = GENERATE(
        row{"none", 0, {1, 2}}, row{"one", 1, {1}}, row{"both", 2, {}},
        row{"those of other instances too", 5, {}});
    INFO(each.name);
    watch_fixture all;
    all.report(here, each.reported);
    all.watch->sent(1, here, 80ms);
    all.timers.advance(10ms);
    all.watch->sent(2, here, 1s);
    all.timers.advance(150ms);
    std::vector<request_id> lost;
    for (const auto& [id, cause] : all.lost)
    {
        CHECK(cause == loss_cause::not_at_target);
        lost.push_back(id);
    }
    CHECK(lost == each.lost);
}

// Guards against a request that is taken for missing because its answer is on its way, or because
// it has only just been sent.
TEST_CASE("requests on their way are not missing")
{
    watch_fixture all;
    all.report(here, 0);
    all.watch->sent(1, here, 80ms);
    all.timers.advance(75ms);
    all.watch->sent(2, here, 1s);
    all.timers.advance(10ms);
    all.watch->ended(1);
    all.timers.advance(200ms);
    CHECK(all.lost.empty());
}

// Guards against requests that wait for a target that was replaced at its address.
TEST_CASE("requests are lost when another target answers at the address")
{
    watch_fixture all;
    all.report(here, 1).name = "t9";
    all.watch->sent(1, here, 80ms);
    all.timers.advance(100ms);
    CHECK(all.lost == std::map<request_id, loss_cause>{{1, loss_cause::target_replaced}});
}
