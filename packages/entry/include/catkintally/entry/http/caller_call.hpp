#pragma once

#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/shared_body.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <string>

struct event;
struct evhttp_connection;
struct evhttp_request;

namespace catkintally::entry
{

/// A caller's request as the path uses it.
struct caller_request
{
    std::string method;
    /// Path and query.
    std::string uri;
    /// Path without query.
    std::string path;
    std::string host;
    /// IP address of the caller.
    std::string address;
    header_list fields;
    shared_body body;
};

/// A response to a caller. evhttp adds the framing.
struct caller_reply
{
    std::uint16_t status = 200;
    header_list fields;
    shared_body body;
    /// Ends the connection after the response.
    bool close = false;
};

/// What a call needs from the front.
struct caller_call_hooks
{
    /// Called after the reply was handed to evhttp.
    std::function<void()> answered;
    /// True if responses end their connections now.
    std::function<bool()> closing;
};

/// One request of a caller until its reply. Tells when the caller closes its connection first; a
/// half-closed connection counts as closed, because the two cannot be told apart without sending.
class caller_call
{
public:
    caller_call(runtime::event_loop& loop, evhttp_request* request, caller_call_hooks hooks);
    ~caller_call();
    caller_call(const caller_call&) = delete;
    caller_call& operator=(const caller_call&) = delete;

    /// The request.
    [[nodiscard]] const caller_request& request() const { return request_; }

    /// Subscribes to the caller's going away; called at most once, before the reply.
    void on_gone(std::function<void()> hook) { gone_ = std::move(hook); }

    /// Sends the response; exactly once for each call, also when the caller is gone.
    void reply(const caller_reply& response);

private:
    static void on_socket(int socket, short what, void* context);
    static void on_connection_closed(evhttp_connection* connection, void* context);
    void read_request();
    void stop_watch();
    void report_gone();

    evhttp_request* handle_;
    evhttp_connection* connection_;
    caller_call_hooks hooks_;
    std::function<void()> gone_;
    event* watch_ = nullptr;
    caller_request request_;
};

} // namespace catkintally::entry
