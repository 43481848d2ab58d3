#include "support/virtual_instance.hpp"

#include <catch2/catch.hpp>

#include <event2/event.h>

#include <chrono>
#include <csignal>

namespace catkintally::entry
{

namespace
{

using namespace std::chrono_literals;

/// Only a hang reaches this limit; tests do not measure time with it.
constexpr auto hang_limit = 20s;

/// Time without any byte after which nothing more is expected from an instance that has ended. The
/// kernel sends what it holds as soon as the caller's window opens.
constexpr auto silence_limit = 2s;

std::string body_for(const std::string& id, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + id.size() + 1);
    while (body.size() < bytes)
    {
        body.append(id).append(1, '.');
    }
    body.resize(bytes);
    return body;
}

} // namespace

const char* name_of(connection_end end)
{
    switch (end)
    {
    case connection_end::fin:
        return "FIN";
    case connection_end::reset:
        return "reset";
    case connection_end::none:
        break;
    }
    return "open";
}

virtual_instance::virtual_instance(virtual_stop stop)
    : plan(stop)
{
    // As in the program, writing to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    runtime::settings values;
    values.instance = {.id = "a1", .failure_domain = "east"};
    values.callers.address = "127.0.0.1:0";
    values.admin.address = "127.0.0.1:0";
    values.stop.drain_ms = plan.drain.count();
    values.stop.grace_ms = plan.grace.count();
    instance_hooks hooks;
    hooks.dialect.request_id_header = "X-Id";
    hooks.dialect.callers_set_request_id = true;
    hooks.joined = [] { return true; };
    hooks.gateway.ask = [this](const core::admission_request&, const auto& answer)
    {
        core::admission_answer granted;
        granted.code = core::decision_code::granted;
        granted.target = "t";
        granted.address = target.address();
        answer(granted);
    };
    hooks.gateway.cancel = [](core::request_id) {};
    hooks.gateway.may_send = [](core::request_id) { return true; };
    hooks.gateway.complete = [this](const core::completion_report& report, const auto&)
    { outcomes.push_back(report.outcome); };
    const auto call_after = [this](core::duration time, const std::function<void()>& done)
    {
        if (time == core::duration::zero())
        {
            done();
            return;
        }
        timers.schedule_after(time, done);
    };
    hooks.leave = [this, call_after](const auto& left) { call_after(plan.leave_time, left); };
    hooks.remove = [this, call_after](const auto& removed)
    { call_after(plan.remove_time, removed); };
    self = std::make_unique<instance>(loop, timers, values, std::move(hooks));
    REQUIRE(self->listen());
    port = self->front().port();
    if (plan.with_table)
    {
        auto table = std::make_shared<core::table_snapshot>();
        auto& desk = table->services["desk"].service;
        desk.name = "desk";
        desk.host = "desk.example";
        desk.max_body_bytes = 1'000'000;
        self->apply_table(table);
    }
    target.script.timers = &timers;
    target.script.on_request = [this](const std::string& text)
    {
        const std::string id = field_of(text, "X-Id");
        ++run[id];
        run_at[id] = timers.now();
        const work& of = work_.at(id);
        target.script.work = of.time;
        target.script.answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(of.body_bytes) + "\r\n\r\n" +
            body_for(id, of.body_bytes);
    };
}

std::string virtual_instance::request(
    const std::string& method,
    core::duration deadline,
    const std::string& extra,
    const std::string& body,
    const std::string& version)
{
    ids_.push_back("r" + std::to_string(ids_.size()));
    work_[ids_.back()] = next_work;
    const auto deadline_ms = std::chrono::duration_cast<std::chrono::milliseconds>(deadline);
    const bool with_body = method == "POST" || method == "PUT";
    return method + " /pay " + version + "\r\nHost: desk.example\r\nX-Id: " + ids_.back() +
           "\r\ncatkintally-deadline-ms: " + std::to_string(deadline_ms.count()) + "\r\n" + extra +
           (with_body ? "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body
                      : "\r\n");
}

void virtual_instance::settle()
{
    // A request and its answer take up to eight passes, with a new connection to the target.
    for (int pass = 0; pass < 8; ++pass)
    {
        barrier_.wait();
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    barrier_.wait();
}

void virtual_instance::settle_until(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + hang_limit;
    bool held = condition();
    while (!held && std::chrono::steady_clock::now() < limit)
    {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        held = condition();
    }
    REQUIRE(held);
}

void virtual_instance::run_for(core::duration time, const std::function<void()>& each)
{
    for (core::duration passed{}; passed < time; passed += 1ms)
    {
        timers.advance(1ms);
        // The program's loop ends as soon as the instance has stopped.
        const bool killed = stopping_ && plan.grace > 0ms && since_stop() >= plan.grace;
        if (self && (stopped || killed))
        {
            end_process();
        }
        settle();
        each();
    }
}

void virtual_instance::run_to_end(const std::function<void()>& each)
{
    while (self)
    {
        run_for(1ms, each);
    }
}

void virtual_instance::end_process()
{
    ended_after = since_stop();
    self.reset();
    // libevent closes the sockets of freed connections in the loop.
    settle();
}

void virtual_instance::stop()
{
    if (!std::exchange(stopping_, true))
    {
        stopped_at_ = timers.now();
    }
    self->stop(
        [this]
        {
            stopped = true;
            ++stopped_calls;
        });
}

void virtual_instance::read_slowly(plain_caller& caller, std::size_t bytes)
{
    const std::size_t wanted = caller.bytes_read + bytes;
    settle_until(
        [&]
        {
            caller.read(wanted - caller.bytes_read);
            return caller.bytes_read == wanted || !caller.is_in_response() ||
                   caller.end != connection_end::none;
        });
}

void virtual_instance::read_all(plain_caller& caller, std::size_t answers)
{
    auto last_progress = std::chrono::steady_clock::now();
    while (caller.answers.size() < answers && caller.end == connection_end::none &&
           std::chrono::steady_clock::now() - last_progress < silence_limit)
    {
        const std::size_t before = caller.bytes_read;
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        caller.read();
        if (caller.bytes_read != before)
        {
            last_progress = std::chrono::steady_clock::now();
        }
    }
}

bool virtual_instance::whole(const caller_answer& answer, const std::string& id) const
{
    return answer.status() == 200 && answer.field("catkintally-request-id") == id &&
           answer.body == body_for(id, work_.at(id).body_bytes);
}

void virtual_instance::check_answers(
    const plain_caller& caller, const std::vector<std::string>& ids) const
{
    INFO("connection: " << name_of(caller.end) << ", answers: " << caller.answers.size());
    CHECK(caller.answers.size() <= ids.size());
    for (std::size_t at = 0; at < ids.size(); ++at)
    {
        const std::string& id = ids[at];
        const bool answered = at < caller.answers.size();
        INFO(
            id << " run: " << has_run(id)
               << ", answer: " << (answered ? caller.answers[at].head : std::string("none")));
        if (has_run(id))
        {
            CHECK(run.at(id) == 1);
            CHECK((answered && whole(caller.answers[at], id)));
        }
        else if (answered)
        {
            CHECK(caller.answers[at].status() == 503);
            CHECK(caller.answers[at].field("catkintally-outcome") == "not-run");
        }
    }
}

} // namespace catkintally::entry
