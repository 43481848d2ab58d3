#include "support/instance_fixture.hpp"

#include <catch2/catch.hpp>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <chrono>
#include <csignal>

#include <sys/socket.h>

namespace catkintally::entry
{

raw_caller::raw_caller(runtime::event_loop& loop, std::uint16_t port)
    : stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    const std::string address = "127.0.0.1:" + std::to_string(port);
    auto* name = reinterpret_cast<sockaddr*>(&storage);
    evutil_parse_sockaddr_port(address.c_str(), name, &length);
    bufferevent_setcb(
        stream_,
        [](bufferevent* from, void* context)
        { static_cast<raw_caller*>(context)->received += drain_text(bufferevent_get_input(from)); },
        nullptr,
        [](bufferevent*, short what, void* context)
        {
            auto* caller = static_cast<raw_caller*>(context);
            caller->ended = caller->ended || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        },
        this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    bufferevent_socket_connect(stream_, name, length);
}

raw_caller::~raw_caller()
{
    close();
}

void raw_caller::send(const std::string& text)
{
    bufferevent_write(stream_, text.data(), text.size());
}

void raw_caller::close()
{
    if (stream_ != nullptr)
    {
        bufferevent_free(std::exchange(stream_, nullptr));
    }
}

void raw_caller::reset()
{
    const linger none{.l_onoff = 1, .l_linger = 0};
    setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}

std::optional<std::string> raw_caller::take_response(bool bodiless)
{
    const auto end = find_head_end(received);
    if (end == std::string::npos)
    {
        return std::nullopt;
    }
    const auto head = parse_http_head(std::string_view(received).substr(0, end));
    bodiless = bodiless || received.substr(9, 3) == "304";
    const auto length = head && !bodiless ? parse_body_framing(head->fields).length.value_or(0) : 0;
    if (received.size() < end + length)
    {
        return std::nullopt;
    }
    std::string response = received.substr(0, end + length);
    received.erase(0, end + length);
    return response;
}

instance_fixture::instance_fixture(
    const std::function<void(runtime::settings&)>& adjust, core::target_dialect dialect)
{
    // As in the program, writing to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    values.instance = {.id = "a1", .failure_domain = "east"};
    values.callers.address = "127.0.0.1:0";
    values.admin.address = "127.0.0.1:0";
    values.stop.drain_ms = 0;
    adjust(values);
    instance_hooks used = hooks();
    used.dialect = std::move(dialect);
    self = std::make_unique<instance>(loop, timers, values, std::move(used));
    REQUIRE(self->listen());

    auto table = std::make_shared<core::table_snapshot>();
    table->revision = 7;
    auto& desk = table->services["desk"].service;
    desk.name = "desk";
    desk.host = "desk.example";
    desk.idempotency_key_header = "idempotency-key";
    desk.not_run_statuses = {503};
    desk.max_body_bytes = 1'000'000;
    auto& open = table->services["open"].service;
    open.name = "open";
    open.path_prefix = "/open";
    self->apply_table(table);
}

instance_hooks instance_fixture::hooks()
{
    instance_hooks out;
    out.gateway.ask = [this](core::admission_request request, auto answer)
    {
        unchecked_requests.insert(request.id);
        asked.push_back(std::move(request));
        if (!answers.empty())
        {
            const core::admission_answer next = answers.front();
            if (answers.size() > 1)
            {
                answers.pop_front();
            }
            answer(next);
        }
    };
    out.gateway.cancel = [this](core::request_id id) { cancelled.push_back(id); };
    out.gateway.may_send = [this](core::request_id id)
    { return unchecked_requests.erase(id) > 0 && may_send; };
    out.gateway.watch = [this](core::request_id id, std::function<void(core::loss_cause)> lost)
    { loss_callbacks[id] = std::move(lost); };
    out.gateway.complete = [this](core::completion_report report, auto answer)
    { completed.emplace_back(std::move(report), std::move(answer)); };
    out.joined = [this] { return joined; };
    return out;
}

void instance_fixture::run_until(const std::function<bool()>& condition)
{
    // Only a hang reaches this limit; tests do not measure time with it.
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition())
    {
        REQUIRE(std::chrono::steady_clock::now() < limit);
        const core::timer_id wake = timers.schedule_after(std::chrono::milliseconds(5), [] {});
        event_base_loop(loop.base(), EVLOOP_ONCE);
        timers.cancel(wake);
    }
}

void instance_fixture::run_until_idle()
{
    for (int pass = 0; pass < 20; ++pass)
    {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
}

std::string instance_fixture::ask(const std::string& request)
{
    raw_caller caller(loop, self->front().port());
    caller.send(request);
    std::optional<std::string> response;
    const bool bodiless = request.starts_with("HEAD");
    run_until([&] { return (response = caller.take_response(bodiless)) || caller.ended; });
    run_until_idle();
    CHECK(caller.received.empty());
    return response.value_or("");
}

std::string instance_fixture::request(const std::string& method, const std::string& extra)
{
    const bool body = method == "POST" || method == "PUT";
    return method + " /pay?x=1 HTTP/1.1\r\nHost: desk.example\r\n" + extra +
           (body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

void instance_fixture::grant(const std::vector<std::string>& addresses)
{
    answers.clear();
    for (const auto& address : addresses)
    {
        core::admission_answer granted;
        granted.code = core::decision_code::granted;
        granted.target = "t" + std::to_string(answers.size() + 1);
        granted.address = address;
        answers.push_back(granted);
    }
}

std::string field_of(const std::string& response, const std::string& name)
{
    const auto head =
        parse_http_head(std::string_view(response).substr(0, find_head_end(response)));
    const std::string* value = head ? find_field(head->fields, name) : nullptr;
    return value == nullptr ? "" : *value;
}

int status_of(const std::string& response)
{
    return response.size() > 12 ? std::stoi(response.substr(9, 3)) : 0;
}

std::string body_of(const std::string& response)
{
    return response.substr(std::min(find_head_end(response), response.size()));
}

} // namespace catkintally::entry
