#pragma once

#include <catkintally/entry/http/caller_connection.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evconnlistener;

namespace catkintally::entry
{

/// Hooks and limits of the callers' address.
struct http_front_options
{
    /// IP:port; port 0 takes a free one.
    std::string address = "127.0.0.1:0";
    core::caller_limits limits;
    /// Gets every valid request. The call lives until its reply.
    std::function<void(caller_call&)> handle;
    /// False makes the health check fail.
    std::function<bool()> healthy;
    /// Next request id, for refusals that come before the path sees the request.
    std::function<std::string()> next_request_id;
    runtime::metrics_registry* metrics = nullptr;
    /// Memory for bodies; may be empty.
    std::shared_ptr<body_budget> budget{};
    /// Callers take fractions of a second in Retry-After.
    bool fractional_retry_after = false;
};

/// The callers' address: accepts connections, refuses invalid requests, answers the health check
/// and hands every other request to the path.
class http_front
{
public:
    http_front(runtime::event_loop& loop, core::timer_service& timers, http_front_options options);
    ~http_front();
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /// Starts to listen; false if the address cannot be bound.
    [[nodiscard]] bool listen();

    /// The bound port.
    [[nodiscard]] std::uint16_t port() const;

    /// Limits from now on, also for open connections.
    void set_limits(const core::caller_limits& limits) { options_.limits = limits; }

    /// From now on every response ends its connection.
    void begin_drain() { draining_ = true; }

    /// Closes the listener and all idle connections. Connections that have not been accepted yet
    /// are taken over before.
    void close_listener();

    /// True while a request is being received or handled, or a response is being written.
    [[nodiscard]] bool is_busy() const;

    /// Closes connections that have become idle since.
    void close_idle();

    /// Open connections.
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    using connection_id = std::uint64_t;
    /// A request: its connection and its number there.
    using call_key = std::pair<connection_id, std::uint64_t>;

    void accept(int socket, std::string address);
    void accept_waiting();
    void take(const call_key& key, caller_request request);
    void answer_health(caller_call& call);
    void end_call(const call_key& key, const caller_reply& response);
    void end_connection(connection_id id);
    void sweep();
    [[nodiscard]] caller_reply refusal_of(request_fault fault);

    runtime::event_loop& loop_;
    core::timer_service& timers_;
    http_front_options options_;
    evconnlistener* listener_ = nullptr;
    bool draining_ = false;
    connection_id last_connection_ = 0;
    std::map<connection_id, std::unique_ptr<caller_connection>> connections_;
    std::map<call_key, std::unique_ptr<caller_call>> calls_;
    /// Replied calls; their reply() may be on the stack.
    std::vector<std::unique_ptr<caller_call>> ended_;
    core::timer_id end_timer_ = 0;
    core::timer_id sweep_timer_ = 0;
};

/// Binds a listening socket to "IP:port" without delay of small segments; -1 on failure.
[[nodiscard]] int bind_listener(const std::string& address);

/// Port of a bound socket.
[[nodiscard]] std::uint16_t bound_port(int socket);

} // namespace catkintally::entry
