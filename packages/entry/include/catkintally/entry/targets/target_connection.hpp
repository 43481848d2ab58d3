#pragma once

#include <catkintally/entry/http/response_reader.hpp>
#include <catkintally/entry/targets/dispatch.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <memory>
#include <string>

struct bufferevent;

namespace catkintally::entry
{

/// A connection to a target. It carries one request at a time and is reused only if the last answer
/// was complete and nothing else was received. A request is never sent twice, and counts as sent
/// from the first byte that is passed to the socket.
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

    /// Sends a request. `done` is called once, possibly before send() returns, and must not destroy
    /// this object. Destroying the connection closes it and discards the hook.
    void send(const target_request& request, dispatch_hook done);

    /// True if bytes of the current request may have reached the target.
    [[nodiscard]] bool is_sent() const { return sent_; }

    /// True if the target's machine has acknowledged the whole request.
    [[nodiscard]] bool is_delivered() const;

    /// True if the next request may use this connection: it is open, and the target has neither
    /// closed it nor sent anything after the last answer.
    [[nodiscard]] bool is_reusable() const;

    /// Time from which the target may close the connection if no request is sent.
    [[nodiscard]] core::time_point idle_until() const { return idle_until_; }

private:
    static void on_readable(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);
    void on_connected();
    void start_reader();
    void write_request();
    /// Repeatedly checks that the target's machine acknowledges what is sent.
    void schedule_acknowledgement_check();
    void check_acknowledgements();
    void read_answer();
    void end_of_input();
    void handle_answer();
    void fail(std::string detail);
    void finish(dispatch_end end);

    core::timer_service& timers_;
    const target_limits limits_;
    const std::string address_;
    bufferevent* stream_;
    bool connected_ = false;
    std::unique_ptr<response_reader> reader_;
    target_request request_;
    dispatch_hook done_;
    bool sent_ = false;
    bool send_refused_ = false;
    /// No further request may use this connection.
    bool reuse_forbidden_ = false;
    core::time_point sent_at_{};
    core::time_point idle_until_{};
    core::timer_id connect_timer_ = 0;
    core::timer_id acknowledgement_timer_ = 0;
};

} // namespace catkintally::entry
