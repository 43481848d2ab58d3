#include <catkintally/runtime/http/http_client.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/runtime/time/run_until.hpp>

#include <catch2/catch.hpp>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <optional>
#include <set>

using namespace catkintally;
using namespace catkintally::runtime;
using namespace std::chrono_literals;

namespace
{

/// What the server does with one request.
enum class reaction : std::uint8_t
{
    answer,
    close,
    stay_silent,
    /// Sends the body in parts. The pause before each is shorter than the call's deadline, all of
    /// them together are longer.
    answer_in_parts,
    /// The same without the last part.
    stop_midway
};

constexpr auto deadline_of_parts = 1s;
constexpr auto part_pause = 150ms;
constexpr int part_count = 10;
constexpr std::size_t part_bytes = 4'000;

/// Server that counts requests and connections and reacts as scripted.
struct scripted_server
{
    explicit scripted_server(event_loop& loop, libevent_timer_service& timer_source)
        : timers(timer_source)
        , server(evhttp_new(loop.base()))
    {
        evhttp_set_gencb(server, &scripted_server::receive, this);
        auto* bound = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        getsockname(
            evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
    ~scripted_server() { stop(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    void stop()
    {
        if (server != nullptr)
        {
            evhttp_free(std::exchange(server, nullptr));
        }
    }

    static void receive(evhttp_request* request, void* context)
    {
        auto& self = *static_cast<scripted_server*>(context);
        const reaction next =
            self.received < self.script.size() ? self.script[self.received] : reaction::answer;
        ++self.received;
        self.hosts.clear();
        for (const auto* field = evhttp_request_get_input_headers(request)->tqh_first;
             field != nullptr; field = field->next.tqe_next)
        {
            if (std::string_view(field->key) == "Host")
            {
                self.hosts.emplace_back(field->value);
            }
        }
        auto* connection = evhttp_request_get_connection(request);
        char* host = nullptr;
        ev_uint16_t peer_port = 0;
        evhttp_connection_get_peer(connection, &host, &peer_port);
        self.peer_ports.insert(peer_port);
        if (next == reaction::answer)
        {
            evhttp_send_reply(request, 200, nullptr, nullptr);
        }
        else if (next == reaction::close)
        {
            self.timers.schedule_after(0ms, [connection] { evhttp_connection_free(connection); });
        }
        else if (next != reaction::stay_silent)
        {
            const std::string size = std::to_string(part_count * part_bytes);
            evhttp_add_header(
                evhttp_request_get_output_headers(request), "Content-Length", size.c_str());
            evhttp_send_reply_start(request, 200, nullptr);
            self.send_part(request, next == reaction::stop_midway ? part_count - 1 : part_count, 1);
        }
    }

    void send_part(evhttp_request* request, int last, int part)
    {
        timers.schedule_after(
            part_pause,
            [this, request, last, part]
            {
                evbuffer* body = evbuffer_new();
                evbuffer_add(body, std::string(part_bytes, 'x').data(), part_bytes);
                evhttp_send_reply_chunk(request, body);
                evbuffer_free(body);
                if (part < last)
                {
                    send_part(request, last, part + 1);
                }
                else if (last == part_count)
                {
                    evhttp_send_reply_end(request);
                }
            });
    }

    libevent_timer_service& timers;
    evhttp* server;
    std::uint16_t port = 0;
    std::vector<reaction> script;
    std::size_t received = 0;
    std::set<std::uint16_t> peer_ports;
    /// Host fields of the newest request.
    std::vector<std::string> hosts;
};

} // namespace

// Guards against outcomes that claim more than is known, requests that run twice, and connections
// that are shared with requests that must not run twice.
TEST_CASE("each call ends once with what is known about it")
{
    using enum reaction;
    struct row
    {
        const char* name;
        bool idempotent;
        std::vector<reaction> script;
        bool server_up;
        std::vector<http_outcome> outcomes;
        std::size_t received;
        std::size_t connections;
    };
    const std::vector<row> rows = {
        {"idempotent calls share a connection",
         true,
         {answer, answer, answer},
         true,
         {http_outcome::answered, http_outcome::answered, http_outcome::answered},
         3,
         1},
        {"other calls do not",
         false,
         {answer, answer},
         true,
         {http_outcome::answered, http_outcome::answered},
         2,
         2},
        {"a first connection that closes is no answer",
         true,
         {close},
         true,
         {http_outcome::no_answer},
         1,
         1},
        {"a kept connection that closes is replaced",
         true,
         {answer, close, answer},
         true,
         {http_outcome::answered, http_outcome::answered},
         3,
         2},
        {"but only once",
         true,
         {answer, close, close, answer},
         true,
         {http_outcome::answered, http_outcome::no_answer},
         3,
         2},
        {"a lost answer is never sent again",
         false,
         {answer, close},
         true,
         {http_outcome::answered, http_outcome::no_answer},
         2,
         2},
        {"the deadline ends a silent call",
         true,
         {stay_silent},
         true,
         {http_outcome::no_answer},
         1,
         1},
        {"the deadline also ends one on a kept connection",
         true,
         {answer, stay_silent},
         true,
         {http_outcome::answered, http_outcome::no_answer},
         2,
         1},
        {"no listener", false, {}, false, {http_outcome::not_connected}, 0, 0}};
    for (const auto& each : rows)
    {
        INFO(each.name);
        event_loop loop;
        libevent_timer_service timers(loop);
        scripted_server server(loop, timers);
        server.script = each.script;
        if (!each.server_up)
        {
            server.stop();
        }
        http_client client(loop, timers);
        std::vector<http_outcome> outcomes;
        for (std::size_t i = 0; i < each.outcomes.size(); ++i)
        {
            const bool silent = i < each.script.size() && each.script[i] == stay_silent;
            client.call(
                {.address = {.host = "127.0.0.1", .port = server.port},
                 .deadline = silent ? 100ms : 20s,
                 .idempotent = each.idempotent},
                [&](const http_response& response) { outcomes.push_back(response.outcome); });
            REQUIRE(outcomes.size() == i);
            REQUIRE(run_until(loop, timers, [&] { return outcomes.size() == i + 1; }));
        }
        CHECK(outcomes == each.outcomes);
        CHECK(server.received == each.received);
        CHECK(server.peer_ports.size() == each.connections);
    }
}

// Guards against a large answer that is given up while it is arriving, so that it is never read
// over a slow link.
TEST_CASE("a deadline bounds the silence of a server, not the length of its answer")
{
    struct row
    {
        const char* name;
        reaction next;
        http_outcome outcome;
        std::size_t received_bytes;
    };
    const std::vector<row> rows = {
        {"the answer goes on arriving", reaction::answer_in_parts, http_outcome::answered,
         part_count * part_bytes},
        {"the answer stops midway", reaction::stop_midway, http_outcome::no_answer,
         (part_count - 1) * part_bytes}};
    for (const row& each : rows)
    {
        INFO(each.name);
        event_loop loop;
        libevent_timer_service timers(loop);
        scripted_server server(loop, timers);
        server.script = {each.next};
        http_client client(loop, timers);
        std::optional<http_response> response;
        client.call(
            {.address = {.host = "127.0.0.1", .port = server.port},
             .deadline = deadline_of_parts,
             .idempotent = true},
            [&](const http_response& received) { response = received; });
        REQUIRE(run_until(loop, timers, [&] { return response.has_value(); }));
        CHECK(response->outcome == each.outcome);
        CHECK(response->received_bytes == each.received_bytes);
        CHECK(
            response->body.size() ==
            (each.outcome == http_outcome::answered ? each.received_bytes : 0));
    }
}

// Guards against a hook that runs after its owner has withdrawn the call.
TEST_CASE("a cancelled call does not call its hook")
{
    event_loop loop;
    libevent_timer_service timers(loop);
    scripted_server server(loop, timers);
    http_client client(loop, timers);
    const http_request request{
        .address = {.host = "127.0.0.1", .port = server.port}, .deadline = 20s};
    bool cancelled_called = false;
    bool second_called = false;
    const auto first = client.call(request, [&](const auto&) { cancelled_called = true; });
    client.call(request, [&](const auto&) { second_called = true; });
    client.cancel(first);
    REQUIRE(run_until(loop, timers, [&] { return second_called; }));
    CHECK_FALSE(cancelled_called);
}

// Guards against requests with two Host fields, which every correct server refuses as malformed.
TEST_CASE("a request has exactly one Host field")
{
    event_loop loop;
    libevent_timer_service timers(loop);
    scripted_server server(loop, timers);
    http_client client(loop, timers);
    const std::string address = "127.0.0.1:" + std::to_string(server.port);
    const std::vector<std::pair<std::vector<std::pair<std::string, std::string>>, std::string>>
        cases = {{{}, address}, {{{"Host", "lookup.test"}}, "lookup.test"}};
    for (const auto& [headers, expected] : cases)
    {
        http_request request{
            .address = {.host = "127.0.0.1", .port = server.port}, .deadline = 20s};
        request.headers = headers;
        bool done = false;
        client.call(request, [&](const auto&) { done = true; });
        REQUIRE(run_until(loop, timers, [&] { return done; }));
        CHECK(server.hosts == std::vector<std::string>{expected});
    }
}
