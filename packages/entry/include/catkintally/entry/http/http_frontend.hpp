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

/// Address, limits and callbacks of the HTTP server for callers.
struct http_frontend_options
{
    /// IP:port; with port 0 the system chooses a free port.
    std::string address = "127.0.0.1:0";
    core::caller_limits limits;
    /// Receives every valid request except health checks. The call is valid until its reply.
    std::function<void(pending_request&)> handle;
    /// Returns false to make the health check fail.
    std::function<bool()> healthy;
    /// True if a request to the health path is a health check, and not a request to a target.
    std::function<bool(const caller_request&)> is_health_check;
    /// Returns the next request id, for requests that are refused before `handle` receives them.
    std::function<std::string()> next_request_id;
    runtime::metrics_registry* metrics = nullptr;
    /// Memory budget for bodies; may be null.
    std::shared_ptr<body_budget> budget{};
    /// Callers accept fractions of a second in Retry-After.
    bool fractional_retry_after = false;
};

/// HTTP server for callers: accepts connections, refuses invalid requests, answers health checks
/// and passes every other request to `handle`.
class http_frontend
{
public:
    http_frontend(
        runtime::event_loop& loop, core::timer_service& timers, http_frontend_options options);
    ~http_frontend();
    http_frontend(const http_frontend&) = delete;
    http_frontend& operator=(const http_frontend&) = delete;

    /// Starts to listen; returns false if the address cannot be bound.
    [[nodiscard]] bool listen();

    /// The bound port. Valid while listening.
    [[nodiscard]] std::uint16_t port() const;

    /// Replaces the limits, also for open connections.
    void set_limits(const core::caller_limits& limits) { options_.limits = limits; }

    /// From now on each connection is closed by the response to the last request that was read when
    /// the drain began, or else to its next request.
    void begin_drain();

    /// Closes the listener and all idle connections. Connections that wait in the listen queue are
    /// accepted first.
    void close_listener();

    /// Refuses requests that are not complete, closes idle connections and hands what is left of
    /// the responses to the kernel. Called when every request has been answered.
    void finish();

    /// True while a request is being received or handled, or a response is being written.
    [[nodiscard]] bool is_busy() const;

    /// Closes all connections that are idle now.
    void close_idle();

    /// Number of open connections.
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

    /// Bytes of answers that were not handed to the kernel, over all connections.
    [[nodiscard]] std::size_t unsent_bytes() const;

private:
    using connection_id = std::uint64_t;
    /// Identifies a request by its connection and its number on that connection.
    using request_key = std::pair<connection_id, std::uint64_t>;

    void accept(int socket, std::string address);
    void accept_queued();
    void start_request(const request_key& key, caller_request request);
    void answer_health_check(pending_request& call);
    void end_request(const request_key& key, const caller_response& response);
    void remove_connection(connection_id id, const connection_summary& summary);
    void record_end(const connection_summary& summary);
    void check_connections();
    [[nodiscard]] caller_response make_refusal(request_error error);

    runtime::event_loop& loop_;
    core::timer_service& timers_;
    http_frontend_options options_;
    evconnlistener* listener_ = nullptr;
    bool draining_ = false;
    connection_id last_connection_ = 0;
    std::map<connection_id, std::unique_ptr<caller_connection>> connections_;
    std::map<request_key, std::unique_ptr<pending_request>> pending_requests_;
    /// Requests that have been replied to. They are destroyed later, since their reply() may be on
    /// the stack.
    std::vector<std::unique_ptr<pending_request>> ended_requests_;
    core::timer_id end_timer_ = 0;
    core::timer_id check_timer_ = 0;
};

/// Opens a listening socket on "IP:port" with TCP_NODELAY; returns -1 on failure.
[[nodiscard]] int bind_listener(const std::string& address);

/// Port of a bound socket.
[[nodiscard]] std::uint16_t bound_port(int socket);

} // namespace catkintally::entry
