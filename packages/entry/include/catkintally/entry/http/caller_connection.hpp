#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/http/end_cause.hpp>
#include <catkintally/entry/http/pending_request.hpp>
#include <catkintally/entry/http/request_reader.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

struct bufferevent;
struct evbuffer;
struct event_base;

namespace catkintally::entry
{

/// Callbacks and resources that a connection gets from its owner. What the callbacks refer to must
/// outlive the connection.
struct caller_connection_hooks
{
    /// Receives a complete request with its number on this connection. The owner passes that number
    /// to reply(), possibly before this callback returns.
    std::function<void(std::uint64_t call, caller_request)> request;
    /// Returns the response to a request that is refused before it is complete.
    std::function<caller_response(request_error)> refusal;
    /// The connection has ended. Called once, never from within a member function of the
    /// connection.
    std::function<void(const connection_summary&)> ended;
    /// Returns true once each connection is to end after the requests that have arrived on it.
    std::function<bool()> draining;
    /// Returns the current limits.
    std::function<const core::caller_limits&()> limits;
    /// Memory budget for bodies; may be null.
    std::shared_ptr<body_budget> budget{};
};

/// One caller's connection. Pipelined requests are read and passed on while earlier ones
/// are still being handled; responses are sent in the order of the requests.
class caller_connection
{
public:
    /// Takes ownership of an accepted socket. `address` is the caller's IP address.
    caller_connection(
        event_base* base,
        core::timer_service& timers,
        int socket,
        std::string address,
        caller_connection_hooks hooks);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sets the response to a request; it is sent after all earlier responses.
    void reply(std::uint64_t call, const caller_response& response);

    /// True while a request is being received or handled, while a response is being written, and
    /// for a short time while the first request of a new connection is awaited.
    [[nodiscard]] bool is_busy() const;

    /// Ends the connection after the requests that have been read, at least in part, or after the
    /// next one if there is none. What the caller sends behind them counts as not read.
    void begin_drain();

    /// Closes the sending side if the connection is not busy and no unread input is waiting. The
    /// connection ends once the caller has closed its side as well, or soon after.
    void close_if_idle();

    /// Refuses a request that is not complete, closes an idle connection, and hands the unsent
    /// output to the kernel.
    void finish();

    /// Applies the time limits; called several times per second.
    void check_timeouts();

    /// True from the end of the connection until its owner destroys it.
    [[nodiscard]] bool has_ended() const { return phase_ == phase::ended; }

    /// State of the connection if it ended now for this reason.
    [[nodiscard]] connection_summary summary(end_cause how) const;

private:
    enum class phase : std::uint8_t
    {
        open,
        /// No further requests are read; the connection ends after the pending responses.
        finishing,
        /// All responses are sent; input is discarded until the caller has had time to read them.
        lingering,
        /// The sending side was closed while no request was due. Input stays unread, so that the
        /// caller of a request that crosses the close does not take it for one that was read.
        half_closed,
        ended
    };
    struct pending_response
    {
        std::uint64_t call = 0;
        bool bodiless = false;
        bool last = false;
        /// The caller understands interim responses to this request.
        bool accepts_interim = true;
        std::optional<caller_response> response;
    };

    static void on_readable(bufferevent*, void* self);
    static void on_written(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);
    void read_requests();
    void take_requests(evbuffer* input);
    void deliver_request();
    void refuse_request(request_error error);
    void finish_after_pending();
    void stop_reading_requests();
    void write_ready_responses();
    void write_response(const pending_response& due);
    void linger();
    void on_input_ended();
    void write_interim_response();
    void end(end_cause how);
    void probe_caller();
    void check_unread_caller();
    void end_if_closed();
    void check_delivery(end_cause delivered);
    [[nodiscard]] bool awaits_first_request() const;

    core::timer_service& timers_;
    caller_connection_hooks hooks_;
    std::string address_;
    bufferevent* stream_;
    request_reader reader_;
    std::uint64_t last_call_ = 0;
    std::deque<pending_response> responses_;
    phase phase_ = phase::open;
    /// Time of the last progress in receiving a request or in sending a response.
    core::time_point last_progress_{};
    /// Part of a request has arrived, but not all of it.
    bool receiving_ = false;
    bool was_in_body_ = false;
    /// Input is being taken; responses wait until that is done.
    bool reading_ = false;
    /// The request that is being received is the last one that is read.
    bool reading_last_ = false;
    /// The caller has closed its sending side and may still read.
    bool input_ended_ = false;
    std::size_t unsent_bytes_ = 0;
    std::size_t unacknowledged_bytes_ = 0;
    core::timer_id end_timer_ = 0;
    core::timer_id gone_timer_ = 0;
};

} // namespace catkintally::entry
