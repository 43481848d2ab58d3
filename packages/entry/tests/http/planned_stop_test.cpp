#include "support/instance_fixture.hpp"

#include <catkintally/core/time/manual_timer_service.hpp>

#include <catch2/catch.hpp>

#include <event2/event.h>

#include <csignal>
#include <map>
#include <set>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

constexpr auto grace = 1000ms;

/// How a caller sends its requests.
enum class caller_kind
{
    new_connection,
    kept_connection,
    pipelined
};

/// What a caller has seen of one request.
struct sent_request
{
    core::time_point at{};
    std::string method;
    int status = 0;
    std::string outcome;
    bool whole = false;
};

/// An instance in virtual time whose targets take a while, and callers that send requests from the
/// planned stop until the process is killed at the end of its grace.
struct stop_fixture
{
    explicit stop_fixture(std::chrono::milliseconds drain = 300ms)
    {
        std::signal(SIGPIPE, SIG_IGN);
        runtime::settings values;
        values.instance = {.id = "a1", .failure_domain = "east"};
        values.callers.address = "127.0.0.1:0";
        values.admin.address = "127.0.0.1:0";
        values.stop.drain_ms = drain.count();
        values.stop.grace_ms = grace.count();
        instance_hooks hooks;
        hooks.dialect.request_id_header = "X-Id";
        hooks.dialect.callers_set_request_id = true;
        hooks.joined = [] { return true; };
        hooks.gateway.ask = [this](const core::admission_request& request, const auto& answer)
        {
            core::admission_answer granted;
            granted.code = core::decision_code::granted;
            granted.target = "t";
            granted.address = target.address();
            timers.schedule_after(
                wait,
                [this, answer, granted]
                {
                    answer(granted);
                    if (stop_after_grant)
                    {
                        self->stop([this] { stopped = true; });
                    }
                });
            static_cast<void>(request);
        };
        hooks.gateway.cancel = [](core::request_id) {};
        hooks.gateway.may_send = [](core::request_id) { return true; };
        hooks.gateway.complete = [](const auto&, const auto&) {};
        hooks.gateway.watch = [this](core::request_id, const auto& lost) { report_loss = lost; };
        self = std::make_unique<instance>(loop, timers, values, std::move(hooks));
        REQUIRE(self->listen());
        port = self->front().port();
        auto table = std::make_shared<core::table_snapshot>();
        auto& desk = table->services["desk"].service;
        desk.name = "desk";
        desk.host = "desk.example";
        desk.max_body_bytes = 1'000'000;
        self->apply_table(table);
        target.script.timers = &timers;
        target.script.on_request = [this](const std::string& request)
        { run.insert(field_of(request, "X-Id")); };
    }

    /// Advances time by a millisecond and handles everything that is ready.
    void step()
    {
        timers.advance(1ms);
        poll();
        collect();
        if (stopped)
        {
            self.reset();
        }
    }

    /// Handles what has arrived on sockets, without any timer.
    void poll()
    {
        for (int pass = 0; pass < 8; ++pass)
        {
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        }
    }

    raw_caller& connect()
    {
        callers.push_back(std::make_unique<raw_caller>(loop, port));
        return *callers.back();
    }

    void send(raw_caller& caller, const std::string& method, core::duration deadline)
    {
        const std::string id = "r" + std::to_string(requests.size());
        const auto deadline_ms = std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
        caller.send(instance_fixture::request(
            method, "X-Id: " + id + "\r\ncatkintally-deadline-ms: " +
                        std::to_string(deadline_ms.count()) + "\r\n"));
        requests[id] = {.at = timers.now(), .method = method, .outcome = {}};
        unanswered[&caller].push_back(id);
    }

    void collect()
    {
        for (auto& [caller, ids] : unanswered)
        {
            while (const auto response = caller->take_response())
            {
                REQUIRE_FALSE(ids.empty());
                sent_request& answered = requests.at(ids.front());
                answered.status = status_of(*response);
                answered.outcome = field_of(*response, "catkintally-outcome");
                answered.whole = body_of(*response) == "ok";
                CHECK(field_of(*response, "catkintally-request-id") == ids.front());
                ids.erase(ids.begin());
            }
        }
    }

    runtime::event_loop loop;
    core::manual_timer_service timers;
    scripted_target target{loop, {}};
    /// Reports that the target has lost the latest request.
    std::function<void(core::loss_cause)> report_loss;
    /// Begins the stop while the connection to the target is being established.
    bool stop_after_grant = false;
    /// How long admission takes.
    core::duration wait{};
    std::unique_ptr<instance> self;
    std::uint16_t port = 0;
    bool stopped = false;
    std::vector<std::unique_ptr<raw_caller>> callers;
    std::map<std::string, sent_request> requests;
    std::map<raw_caller*, std::vector<std::string>> unanswered;
    /// Requests that the target has received.
    std::set<std::string> run;
};

} // namespace

// Guards against requests that are passed on late in the grace of a planned stop and cut without an
// answer at its end: each is run and answered, or refused as not run before it is passed on.
TEST_CASE("requests that arrive during a planned stop are answered before its grace ends")
{
    const auto kind =
        GENERATE(caller_kind::new_connection, caller_kind::kept_connection, caller_kind::pipelined);
    const auto work = GENERATE(5ms, 80ms, 400ms);
    const auto wait = GENERATE(0ms, 60ms);
    // The listener is closed early, or shortly before the end of the grace.
    const auto drain = GENERATE(300ms, 950ms);
    INFO(
        "caller " << static_cast<int>(kind) << ", work " << work.count() << " ms, wait "
                  << wait.count() << " ms, drain " << drain.count() << " ms");
    stop_fixture fixture(drain);
    fixture.target.script.work = work;
    fixture.wait = wait;
    std::vector<raw_caller*> kept;
    // Idle connections are closed with the listener; pipelined ones stay as long as they are busy.
    const std::size_t connections = kind == caller_kind::kept_connection ? 100 : 2;
    for (std::size_t caller = 0; caller < connections; ++caller)
    {
        kept.push_back(&fixture.connect());
        fixture.send(*kept.back(), "GET", 2s);
    }
    for (auto warm_up = 0ms; warm_up < 600ms; warm_up += 1ms)
    {
        fixture.step();
    }
    REQUIRE(fixture.run.size() == connections);

    const auto begin = fixture.timers.now();
    fixture.self->stop([&] { fixture.stopped = true; });
    const std::vector<core::duration> deadlines = {50ms, 200ms, 600ms, 3s};
    std::size_t turn = 0;
    while (fixture.self && fixture.timers.now() - begin < grace)
    {
        const auto passed = fixture.timers.now() - begin;
        if (passed % 10ms == core::duration::zero() && passed < grace - 5ms)
        {
            const std::string method = turn % 2 == 0 ? "POST" : "GET";
            const core::duration deadline = deadlines[turn / 2 % deadlines.size()];
            if (kind == caller_kind::pipelined && kept[turn % kept.size()]->ended)
            {
                // Callers go on with a new connection once theirs has been closed.
                kept[turn % kept.size()] = &fixture.connect();
            }
            raw_caller* caller =
                kind == caller_kind::new_connection ? &fixture.connect() : kept[turn % kept.size()];
            ++turn;
            if (!caller->ended)
            {
                fixture.send(*caller, method, deadline);
                if (kind == caller_kind::pipelined)
                {
                    fixture.send(*caller, method, 3s);
                    fixture.send(*caller, method, 100ms);
                }
            }
        }
        fixture.step();
    }
    // The kill.
    fixture.self.reset();
    fixture.collect();

    std::size_t answered = 0;
    std::size_t refused = 0;
    for (const auto& [id, each] : fixture.requests)
    {
        INFO(
            id << ' ' << each.method << " sent "
               << std::chrono::duration_cast<std::chrono::milliseconds>(each.at - begin).count()
               << " ms after the stop, answered " << each.status << ' ' << each.outcome);
        const bool was_run = fixture.run.contains(id);
        if (was_run)
        {
            // A deadline that ends first is answered with 504.
            CHECK((each.status == 504 || (each.status == 200 && each.whole)));
        }
        else if (each.status != 0)
        {
            CHECK((each.status == 503 || each.status == 504));
            CHECK(each.outcome == "not-run");
        }
        answered += each.status == 200 ? 1 : 0;
        refused += each.status == 503 ? 1 : 0;
    }
    CHECK(answered > connections);
    CHECK(refused > 0);
}

// Guards against a caller without an answer whose request began before the stop and needs longer
// than the grace.
TEST_CASE("a request that outlasts the grace is answered before the process ends")
{
    stop_fixture fixture;
    fixture.target.script.work = 5s;
    raw_caller& running = fixture.connect();
    fixture.send(running, "POST", 8s);
    for (int ms = 0; ms < 20; ++ms)
    {
        fixture.step();
    }
    fixture.wait = 5s;
    raw_caller& waiting = fixture.connect();
    fixture.send(waiting, "POST", 8s);
    fixture.step();
    const auto begin = fixture.timers.now();
    fixture.self->stop([&] { fixture.stopped = true; });
    while (fixture.self && fixture.timers.now() - begin < grace)
    {
        fixture.step();
    }
    CHECK(fixture.requests.at("r0").status == 502);
    CHECK(fixture.requests.at("r0").outcome == "unknown");
    // It cannot be run any more, so it is refused at once.
    CHECK(fixture.requests.at("r1").status == 503);
    CHECK(fixture.requests.at("r1").outcome == "not-run");
    CHECK(fixture.run.size() == 1);
}

// Guards against a request that is passed on in a stop, although it may outlast the process,
// because its connection to the target was being established when the stop began.
TEST_CASE("a request whose connection is established after the stop began is refused if it may "
          "outlast the grace")
{
    const bool outlasts = GENERATE(true, false);
    stop_fixture fixture;
    fixture.target.script.work = 5ms;
    fixture.stop_after_grant = true;
    fixture.send(fixture.connect(), "POST", outlasts ? 3s : 500ms);
    for (int ms = 0; ms < 30 && fixture.self; ++ms)
    {
        fixture.step();
    }
    CHECK(fixture.requests.at("r0").status == (outlasts ? 503 : 200));
    CHECK(fixture.target.requests == (outlasts ? 0 : 1));
}

// Guards against a whole response that is thrown away, and answered with a 502 or 504, because this
// process was paused: a timer that has become due meanwhile fires before the response is handled.
TEST_CASE("a response that has been read is delivered although a timer would end its request")
{
    enum class late_event
    {
        loss,
        deadline,
        end_of_grace
    };
    const auto each = GENERATE(late_event::loss, late_event::deadline, late_event::end_of_grace);
    const std::string method = GENERATE("GET", "POST");
    INFO(method << ", event " << static_cast<int>(each));
    stop_fixture fixture;
    fixture.target.script.timers = nullptr;
    fixture.target.script.hold = true;
    fixture.send(fixture.connect(), method, each == late_event::deadline ? 500ms : 3s);
    for (int ms = 0; ms < 20; ++ms)
    {
        fixture.step();
    }
    REQUIRE(fixture.run.contains("r0"));
    if (each == late_event::end_of_grace)
    {
        fixture.self->stop([&] { fixture.stopped = true; });
    }
    fixture.target.release();
    fixture.timers.pause(each == late_event::loss ? 0ms : 950ms);
    fixture.poll();
    if (each == late_event::loss)
    {
        fixture.report_loss(core::loss_cause::not_at_target);
    }
    for (int ms = 0; ms < 20 && fixture.self; ++ms)
    {
        fixture.step();
    }
    CHECK(fixture.requests.at("r0").status == 200);
    CHECK(fixture.requests.at("r0").whole);
    CHECK(fixture.target.requests == 1);
}
