#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/http/caller_call.hpp>
#include <catkintally/entry/http/request_reader.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

struct bufferevent;
struct event_base;

namespace catkintally::entry
{

/// What a connection needs from the front. Pointers and hooks must outlive it.
struct caller_connection_hooks
{
    /// Takes a whole request; reply() is called with its number, maybe inline.
    std::function<void(std::uint64_t call, caller_request)> request;
    /// Makes the response to a request that is refused before it is whole.
    std::function<caller_reply(request_fault)> refusal;
    /// The connection has ended. Called once, never from inside a call to this object.
    std::function<void()> ended;
    /// True if responses end their connections now.
    std::function<bool()> closing;
    /// The limits in force.
    std::function<const core::caller_limits&()> limits;
    /// Memory for bodies; may be empty.
    std::shared_ptr<body_budget> budget{};
};

/// One caller's connection. Requests that were sent ahead are read and handed on while earlier ones
/// are still at work; responses leave in the order of the requests.
class caller_connection
{
public:
    /// Takes over an accepted socket. `address` is the caller's IP address.
    caller_connection(
        event_base* base,
        core::timer_service& timers,
        int socket,
        std::string address,
        caller_connection_hooks hooks);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Gives the response to a request; it leaves once all earlier ones have left.
    void reply(std::uint64_t call, const caller_reply& response);

    /// True while a request is being received or handled, or a response is being written, and while
    /// the first request of a new connection is to come.
    [[nodiscard]] bool is_busy() const;

    /// Closes the connection if no request is on it.
    void close_if_idle();

    /// Applies the time limits; called a few times a second.
    void check_time();

private:
    enum class phase : std::uint8_t
    {
        open,
        /// No further request is read; the connection ends after the responses that are due.
        finishing,
        /// All responses have left; waits a moment for the caller to read them.
        lingering,
        ended
    };
    struct pending_response
    {
        std::uint64_t call = 0;
        bool bodiless = false;
        bool last = false;
        std::optional<caller_reply> response;
    };

    static void on_readable(bufferevent*, void* self);
    static void on_written(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);
    void read_requests();
    void hand_on();
    void refuse();
    void write_due();
    void write(const pending_response& due);
    void linger();
    void end();
    [[nodiscard]] bool awaits_first_request() const;

    core::timer_service& timers_;
    caller_connection_hooks hooks_;
    std::string address_;
    bufferevent* stream_;
    request_reader reader_;
    std::uint64_t last_call_ = 0;
    std::deque<pending_response> responses_;
    phase now_ = phase::open;
    /// Time of the last progress: bytes of a request, or of a response that left.
    core::time_point since_{};
    /// Bytes of a request have arrived that is not whole yet.
    bool receiving_ = false;
    bool was_in_body_ = false;
    std::size_t unsent_ = 0;
    core::timer_id end_timer_ = 0;
};

} // namespace catkintally::entry
