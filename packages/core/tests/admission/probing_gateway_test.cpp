#include "probing_fixture.hpp"

#include <algorithm>
#include <map>
#include <set>

using namespace catkintally::core;
using namespace std::chrono_literals;

// Guards against requests that are sent to a full, slow or failing target although a fast target
// with a free slot answers.
TEST_CASE("a request goes to the target with the lowest expected completion time")
{
    struct row
    {
        const char* name;
        std::function<void(probing_fixture&)> arrange;
        std::vector<std::string> accepted;
    };
    const std::vector<row> rows = {
        {"targets in the own failure domain are preferred", [](auto&) {}, {"t0", "t2"}},
        {"slow targets are left out",
         [](auto& fixture)
         {
             fixture.report("t0").load->slowdown = 5;
             fixture.report("t2").load->slowdown = 5;
             fixture.report("t1").load->slowdown = 5;
         },
         {"t3"}},
        {"full targets are left out",
         [](auto& fixture)
         {
             for (const char* name : {"t0", "t1", "t2"})
             {
                 fixture.report(name).load->running = 2;
                 fixture.reports[name].load->queued = 1;
             }
         },
         {"t3"}},
        {"unhealthy targets are left out",
         [](auto& fixture)
         {
             fixture.report("t0").healthy = false;
             fixture.report("t1").healthy = false;
             fixture.report("t2").healthy = false;
         },
         {"t3"}},
        {"targets that do not answer are left out",
         [](auto& fixture)
         {
             fixture.reports.erase("t0");
             fixture.reports.erase("t2");
         },
         {"t1", "t3"}},
        {"targets that report another name are left out",
         [](auto& fixture)
         {
             fixture.report("t0").name = "other";
             fixture.report("t2").name = "other";
         },
         {"t1", "t3"}},
        {"evacuated failure domains are left out",
         [](auto& fixture)
         {
             fixture.table.domains["here"] = {.name = "here", .state = domain_state::out};
             fixture.apply();
         },
         {"t1", "t3"}},
        {"draining and removed targets are left out",
         [](auto& fixture)
         {
             fixture.table.services["desk"].targets[0].state = target_admin_state::draining;
             fixture.table.services["desk"].targets.erase(
                 fixture.table.services["desk"].targets.begin() + 2);
             fixture.apply();
         },
         {"t1", "t3"}}};
    for (const row& each : rows)
    {
        INFO(each.name);
        probing_fixture fixture;
        each.arrange(fixture);
        const admission_answer answer = fixture.decide(1);
        CHECK(answer.code == decision_code::granted);
        INFO(answer.target);
        CHECK(std::count(each.accepted.begin(), each.accepted.end(), answer.target) == 1);
        CHECK(fixture.gateway.may_send(1));
    }
}

// Guards against requests that wait although no target can take them, and against refusals without
// a retry-after time.
TEST_CASE("a request that no target can take is refused promptly with a retry-after time")
{
    struct row
    {
        const char* name;
        std::function<void(probing_fixture&)> arrange;
        decision_code code;
        duration max_wait;
    };
    const std::vector<row> rows = {
        {"no target",
         [](auto& fixture)
         {
             fixture.table.services["desk"].targets.clear();
             fixture.apply();
         },
         decision_code::refused_no_target, 1ms},
        {"no service",
         [](auto& fixture)
         {
             fixture.table.services.clear();
             fixture.apply();
         },
         decision_code::refused_no_target, 1ms},
        {"long queues everywhere",
         [](auto& fixture)
         {
             for (auto& [name, report] : fixture.reports)
             {
                 report.load->running = 2;
                 report.load->queued = 4;
             }
         },
         decision_code::refused_queue_full, 100ms},
        {"no target answers", [](auto& fixture) { fixture.reports.clear(); },
         decision_code::refused_no_target, 300ms}};
    for (const row& each : rows)
    {
        INFO(each.name);
        probing_fixture fixture;
        each.arrange(fixture);
        const time_point begin = fixture.timers.now();
        const admission_answer answer = fixture.decide(1);
        CHECK(answer.code == each.code);
        CHECK(answer.claim == run_claim::not_run);
        CHECK(answer.retry_after > duration::zero());
        CHECK(fixture.timers.now() - begin <= each.max_wait);
        CHECK_FALSE(fixture.gateway.may_send(1));
    }
}

// Guards against requests that are queued at a target, where they start at whatever speed it has by
// then, while another slot becomes free. During bursts above the capacity that halves the
// throughput of the targets.
TEST_CASE("during a burst a request waits for a free slot while it can meet its objective")
{
    struct row
    {
        const char* name;
        duration slot_free_at;
        bool granted;
    };
    const auto each =
        GENERATE(row{"a slot becomes free in time", 120ms, true}, row{"too late", 260ms, false});
    INFO(each.name);
    probing_fixture fixture;
    fixture.objective = 400ms;
    for (const char* name : {"t0", "t1", "t2", "t3"})
    {
        fixture.report(name).load->running = 2;
    }
    fixture.submit(1);
    fixture.timers.advance(each.slot_free_at);
    fixture.report("t1");
    // Requests wait for half of their objective; the other half is left for the work.
    fixture.timers.advance(200ms - std::min<duration>(each.slot_free_at, 200ms));
    fixture.timers.advance(40ms);
    REQUIRE(fixture.answers.contains(1));
    CHECK(
        fixture.answers.at(1).code ==
        (each.granted ? decision_code::granted : decision_code::refused_queue_full));
    CHECK(fixture.answers.at(1).target == (each.granted ? "t1" : ""));
}

// Guards against a service that serves no requests because all its targets are slow.
TEST_CASE("a slow target with a free slot is used if all targets are slow")
{
    probing_fixture fixture;
    fixture.objective = 400ms;
    for (const char* name : {"t0", "t1", "t2", "t3"})
    {
        fixture.report(name).load->slowdown = 5;
    }
    CHECK(fixture.decide(1).code == decision_code::granted);
    CHECK(fixture.timers.now().time_since_epoch() <= 200ms);
}

// Guards against simultaneous requests that are all sent to the same target because its load report
// does not include them yet.
TEST_CASE("requests that were sent since the report count as load")
{
    probing_fixture fixture(2);
    std::map<std::string, int> counts;
    for (request_id id = 1; id <= 4; ++id)
    {
        fixture.submit(id);
    }
    fixture.timers.advance(50ms);
    for (const auto& [id, answer] : fixture.answers)
    {
        CHECK(answer.code == decision_code::granted);
        ++counts[answer.target];
    }
    CHECK(counts["t0"] == 2);
    CHECK(counts["t1"] == 2);
}

// Guards against a grant that is used after its target started draining or after it expired.
TEST_CASE("a grant cannot be used after its target starts draining or after it expires")
{
    const bool drains = GENERATE(true, false);
    probing_fixture fixture(1);
    CHECK(fixture.decide(1).code == decision_code::granted);
    CHECK(fixture.gateway.may_send(1));
    if (drains)
    {
        fixture.table.services["desk"].targets[0].state = target_admin_state::draining;
        fixture.apply();
    }
    else
    {
        fixture.timers.advance(2s);
    }
    CHECK_FALSE(fixture.gateway.may_send(1));
}

// Guards against retries that multiply an overload: in any interval, the number of retries stays
// below the configured percentage of first attempts plus the retries that may be accumulated.
TEST_CASE("retries are bounded by the requests that were sent")
{
    probing_fixture fixture(4, {.retry_slack = 3.75});
    request_id id = 0;
    int retries = 0;
    for (int request = 0; request < 100; ++request)
    {
        fixture.decide(++id);
        fixture.complete(id, completion_outcome::answered);
        const auto code = fixture.decide(++id, true).code;
        retries += code == decision_code::granted ? 1 : 0;
        CHECK((code == decision_code::granted || code == decision_code::refused_retry_budget));
        if (code == decision_code::granted)
        {
            fixture.complete(id, completion_outcome::answered);
        }
    }
    CHECK(retries >= 20);
    CHECK(retries <= 23);
}

// Guards against a failing target that keeps getting requests, and against a service that loses all
// its targets because each has failed once.
TEST_CASE("failed targets get no requests while enough others are available")
{
    probing_fixture fixture(4);
    request_id id = 0;
    const auto fail_next_request = [&]
    {
        std::string target = fixture.decide(++id).target;
        fixture.complete(id, completion_outcome::connection_lost, 0);
        return target;
    };
    const std::string first = fail_next_request();
    for (int request = 0; request < 20; ++request)
    {
        CHECK(fixture.decide(++id).target != first);
        fixture.complete(id, completion_outcome::answered);
    }
    fail_next_request();
    fail_next_request();
    // Three of four targets have failed: the last one could not serve the load alone.
    CHECK(fixture.probing->ejected_count() == 3);
    std::set<std::string> used;
    for (int request = 0; request < 30; ++request)
    {
        used.insert(fixture.decide(++id).target);
        fixture.complete(id, completion_outcome::answered);
    }
    CHECK(used.size() > 1);
}

// Guards against requests that spend their time probing unreachable targets while a failure domain
// is down and the other targets are full and reset connections. Seen in a fault run: six of the
// nine targets probed for one request were unreachable.
TEST_CASE("unreachable targets are not probed while others are full")
{
    probing_fixture fixture(8);
    request_id id = 0;
    const auto fail = [&](const std::string& name)
    {
        // A different request each time, since a request that crashes three targets is refused.
        ++fixture.fingerprint;
        for (auto& [other, report] : fixture.reports)
        {
            report.load->running = other == name ? 0 : 2;
        }
        REQUIRE(fixture.decide(++id).target == name);
        fixture.complete(id, completion_outcome::connection_lost, 0);
        fixture.timers.advance(std::chrono::milliseconds(2));
    };
    const std::set<std::string> unreachable = {"t0", "t2", "t4"};
    for (const std::string& name : unreachable)
    {
        fixture.crashed_targets.insert(name);
        fail(name);
        fixture.reports.erase(name);
    }
    fail("t1");
    fail("t3");
    REQUIRE(fixture.probing->ejected_count() == 5);

    for (auto& [name, report] : fixture.reports)
    {
        report.load->running = 2;
    }
    fixture.probed_names.clear();
    ++fixture.fingerprint;
    CHECK(fixture.decide(++id).code == decision_code::refused_queue_full);
    std::set<std::string> probed(fixture.probed_names.begin(), fixture.probed_names.end());
    CHECK(probed == std::set<std::string>{"t1", "t3", "t5", "t6", "t7"});

    // They are probed again when their ejection ends, and used once they answer.
    fixture.timers.advance(std::chrono::seconds(2));
    fixture.report("t0");
    CHECK(fixture.decide(++id).target == "t0");
}

// Guards against cold targets that get more requests than they can serve from all instances
// together, whether the table registers them as cold or only a health check reports it, and against
// cold targets that get no requests at all.
TEST_CASE("all instances together send a cold target no more than it can serve")
{
    constexpr double rate = 4.3;
    const bool registered = GENERATE(true, false);
    const std::size_t near = GENERATE(2, 5, 30, 100);
    const std::size_t far = 3 * near;
    std::vector<std::unique_ptr<probing_fixture>> instances;
    for (std::size_t index = 0; index < near + far; ++index)
    {
        probing_gateway_options options;
        options.self = "i" + std::to_string(index);
        options.fleet = [=] { return fleet_size{.near = near, .far = far}; };
        instances.push_back(std::make_unique<probing_fixture>(0, options));
        probing_fixture& each = *instances.back();
        each.table.services["desk"].service.warmup_requests_per_s = rate;
        for (int number = 0; number < 8; ++number)
        {
            target_row row;
            row.name = "t" + std::to_string(number);
            row.address = "10.0.0.1:1";
            row.failure_domain = index < near ? "here" : "there";
            row.warmup_remaining = registered ? duration(60s) : duration::zero();
            each.table.services["desk"].targets.push_back(row);
            each.report(row.name).warmup_remaining = 60s;
        }
        each.apply();
    }
    // Every instance has far more requests than the targets can serve.
    std::map<std::string, std::vector<time_point>> sent;
    request_id id = 0;
    for (int round = 0; round < 100; ++round)
    {
        ++id;
        for (const auto& each : instances)
        {
            each->submit(id);
            each->timers.advance(50ms);
            const auto answer = each->answers.find(id);
            if (answer != each->answers.end() && answer->second.code == decision_code::granted)
            {
                sent[answer->second.target].push_back(each->timers.now());
                each->complete(id, completion_outcome::answered);
            }
        }
    }
    // Limit set by the users: one and a half times the rate, plus five, in any second.
    std::size_t max_per_second = 0;
    for (const auto& [target, times] : sent)
    {
        for (const time_point begin : times)
        {
            max_per_second = std::max<std::size_t>(
                max_per_second,
                std::count_if(
                    times.begin(), times.end(),
                    [&](time_point each) { return each >= begin && each < begin + 1s; }));
        }
    }
    CHECK(max_per_second <= static_cast<std::size_t>(rate * 1.5 + 5));
    CHECK(sent.size() >= 6);
}

// Guards against decisions that differ between two runs with the same seed, which could not be
// explained afterwards.
TEST_CASE("the same seed and the same events give the same decisions")
{
    const auto run = []
    {
        probing_fixture fixture(8);
        std::vector<std::string> targets;
        for (request_id id = 1; id <= 50; ++id)
        {
            targets.push_back(fixture.decide(id).target);
        }
        return targets;
    };
    CHECK(run() == run());
}

// Guards against a decision for an admission request that was cancelled before.
TEST_CASE("a cancelled admission request gets no decision")
{
    probing_fixture fixture;
    fixture.submit(1);
    fixture.gateway.cancel(1);
    fixture.timers.advance(5s);
    CHECK(fixture.answers.empty());
    CHECK(fixture.decisions.empty());
}
