#pragma once

#include <catkintally/runtime/http/http_exchange.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace catkintally::runtime
{

struct http_client_options
{
    /// Kept connections for each address.
    std::size_t max_idle_connections = 2;
    /// Larger responses end the call without an answer.
    std::size_t max_response_bytes = 16 << 20;
    /// Largest response head.
    std::size_t max_response_head_bytes = 64 << 10;
};

/// Asynchronous HTTP/1.1 client for the control plane: the platform's API, admin addresses and test
/// programs. One call gives one call of its hook, from the loop, unless it is cancelled.
class http_client
{
public:
    using hook = std::function<void(http_response)>;
    /// Identifies one call; 0 is never issued.
    using call_id = std::uint64_t;

    /// `loop` and `timers` must outlive this object.
    http_client(
        event_loop& loop, core::timer_service& timers, const http_client_options& options = {});
    /// Ends all calls without calling their hooks.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call; never calls `done` inline.
    call_id call(http_request request, hook done);

    /// Ends a call without calling its hook. The server may still run the request.
    void cancel(call_id id);

private:
    struct connection_deleter
    {
        void operator()(evhttp_connection* connection) const;
    };
    using connection_ptr = std::unique_ptr<evhttp_connection, connection_deleter>;
    struct pending_call;

    static void on_body_part(evhttp_request* response, void* context);
    static void on_response(evhttp_request* response, void* context);
    void send(pending_call& started);
    void set_deadline(pending_call& pending, core::time_point deadline);
    /// Gives the next part of the body its time.
    void extend_deadline(pending_call& receiving);
    connection_ptr take_connection(pending_call& started);
    void finish(call_id id);
    [[nodiscard]] bool may_send_again(const pending_call& ended) const;

    event_loop& loop_;
    core::timer_service& timers_;
    http_client_options options_;
    call_id next_id_ = 1;
    std::map<std::string, std::vector<connection_ptr>> idle_;
    std::map<call_id, std::unique_ptr<pending_call>> calls_;
};

} // namespace catkintally::runtime
