#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/http/head_gate.hpp>
#include <catkintally/entry/http/request_check.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct bufferevent;

namespace catkintally::entry
{

/// Limits of callers' connections.
struct caller_limits
{
    std::size_t header_bytes = 16'384;
    std::uint64_t body_bytes = 8'388'608;
    core::duration idle_time = std::chrono::seconds(60);
    /// From the first byte of a request to the end of its head, and again to the end of its body.
    core::duration request_time = std::chrono::seconds(30);
};

/// The callers' connections beneath evhttp. Checks each request head before evhttp reads it,
/// answers refused ones itself, and ends idle and slow connections, for which evhttp has no hooks.
class caller_connections
{
public:
    /// `refusal` makes the whole text of a refusing response.
    caller_connections(
        runtime::event_loop& loop,
        core::timer_service& timers,
        caller_limits limits,
        std::function<std::string(request_fault)> refusal);
    ~caller_connections();
    caller_connections(const caller_connections&) = delete;
    caller_connections& operator=(const caller_connections&) = delete;

    /// Makes the stream of a connection that evhttp is about to accept.
    [[nodiscard]] bufferevent* create();

    /// A whole request was received on this stream and is being handled.
    void handling(bufferevent* stream);

    /// The response to that request was handed to evhttp.
    void replied(bufferevent* stream);

    /// True while a request is being received or handled, or a response is being written.
    [[nodiscard]] bool is_busy() const;

    /// Closes connections on which nothing has arrived since the last response.
    void close_idle();

    /// Number of open connections.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    enum class phase : std::uint8_t
    {
        idle,
        receiving,
        handling,
        /// To be refused after the response before it is written.
        refusing,
        /// Refused; waits a moment for the caller to read the refusal.
        lingering,
        closing
    };
    struct entry;

    head_verdict check_head(entry& checked, std::string_view head);
    void refuse(entry& refused, request_fault fault);
    void send_refusal(entry& refused);
    static void release(entry& released);
    void inspect(entry& inspected);
    void sweep();
    [[nodiscard]] static bool is_alive(const entry& checked);

    runtime::event_loop& loop_;
    core::timer_service& timers_;
    const caller_limits limits_;
    std::function<std::string(request_fault)> refusal_;
    std::map<bufferevent*, std::unique_ptr<entry>> entries_;
    core::timer_id sweep_timer_ = 0;
};

} // namespace catkintally::entry
