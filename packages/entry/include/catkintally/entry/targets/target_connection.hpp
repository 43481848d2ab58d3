#pragma once

#include <catkintally/entry/http/head_gate.hpp>
#include <catkintally/entry/targets/dispatch.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <memory>
#include <string>

struct evhttp_connection;
struct evhttp_request;

namespace catkintally::entry
{

/// One connection to a target. It carries one request at a time and is used again only if the last
/// answer was whole and nothing else has arrived. evhttp is kept from sending anything twice: its
/// retries are off, and a request counts as sent with the first byte that it hands to the socket.
class target_connection
{
public:
    target_connection(
        runtime::event_loop& loop,
        core::timer_service& timers,
        const target_limits& limits,
        const std::string& address);
    ~target_connection();
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    /// Sends a request; `done` is called once, maybe inline. It must not destroy this object.
    /// Destroying the connection closes it and drops the hook.
    void send(const target_request& request, dispatch_hook done);

    /// True if bytes of the current request may have reached the target.
    [[nodiscard]] bool is_sent() const { return sent_; }

    /// True if the next request may use this connection: it is open, and the target has neither
    /// closed it nor sent anything beyond the last answer.
    [[nodiscard]] bool is_reusable() const;

    /// When the last request ended.
    [[nodiscard]] core::time_point idle_since() const { return idle_since_; }

private:
    static void on_response(evhttp_request* request, void* context);
    head_verdict check_head(std::string_view text);
    void fail_later(std::string detail);
    void finish(dispatch_end end);
    [[nodiscard]] dispatch_end take_answer(evhttp_request* request) const;
    void on_first_byte();
    void watch_output();

    core::timer_service& timers_;
    const target_limits limits_;
    evhttp_connection* connection_ = nullptr;
    std::unique_ptr<head_gate> gate_;
    dispatch_hook done_;
    std::function<bool()> may_send_;
    bool head_request_ = false;
    bool sent_ = false;
    bool held_back_ = false;
    bool spent_ = false;
    core::time_point sent_at_{};
    core::time_point idle_since_{};
    core::timer_id connect_timer_ = 0;
    core::timer_id fail_timer_ = 0;
    std::string detail_;
};

} // namespace catkintally::entry
