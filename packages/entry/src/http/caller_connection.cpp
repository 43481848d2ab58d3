#include <catkintally/entry/http/caller_connection.hpp>
#include <catkintally/entry/http/socket_state.hpp>

#include <boost/beast/http/status.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include <sys/socket.h>

namespace catkintally::entry
{

namespace
{

/// Maximum number of requests of one connection that are handled at the same time. Further requests
/// stay unread.
constexpr std::size_t max_pipelined_requests = 32;

/// Closing a socket with unread input resets the connection, and the caller may lose a response
/// that it has not read. Therefore input is read and discarded for this time after the caller's
/// machine has acknowledged the last response.
constexpr auto linger_time = std::chrono::seconds(1);

/// Time after an interim response in which the reset of a closed connection arrives.
constexpr auto gone_check_delay = std::chrono::milliseconds(100);

/// Time for which a stopping instance waits for the first request on a new connection. Callers send
/// it immediately; the time allows for a slow link.
constexpr auto first_request_timeout = std::chrono::milliseconds(500);

std::string status_line(std::uint16_t status)
{
    namespace http = boost::beast::http;
    std::string reason(http::obsolete_reason(static_cast<http::status>(status)));
    return "HTTP/1.1 " + std::to_string(status) + ' ' + (reason.empty() ? "Unknown" : reason) +
           "\r\n";
}

} // namespace

caller_connection::caller_connection(
    event_base* base,
    core::timer_service& timers,
    int socket,
    std::string address,
    caller_connection_hooks hooks)
    : timers_(timers)
    , hooks_(std::move(hooks))
    , address_(std::move(address))
    , stream_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE))
    , reader_(hooks_.budget)
    , last_progress_(timers.now())
{
    bufferevent_setcb(
        stream_, &caller_connection::on_readable, &caller_connection::on_written,
        &caller_connection::on_event, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

caller_connection::~caller_connection()
{
    timers_.cancel(end_timer_);
    timers_.cancel(gone_timer_);
    const int socket = bufferevent_getfd(stream_);
    if (phase_ != phase::ended && unacknowledged_bytes(socket).value_or(0) > 0)
    {
        // The process ends before the caller has read its answer.
        ignore_input(socket);
    }
    bufferevent_free(stream_);
}

void caller_connection::on_readable(bufferevent*, void* self)
{
    static_cast<caller_connection*>(self)->read_requests();
}

void caller_connection::on_written(bufferevent*, void* self)
{
    auto* connection = static_cast<caller_connection*>(self);
    if (connection->phase_ == phase::finishing && connection->responses_.empty())
    {
        connection->linger();
    }
}

void caller_connection::on_event(bufferevent*, short what, void* self)
{
    auto* connection = static_cast<caller_connection*>(self);
    if ((what & BEV_EVENT_ERROR) != 0)
    {
        connection->end(end_cause::reset);
    }
    else if ((what & BEV_EVENT_EOF) != 0)
    {
        connection->on_input_ended();
    }
}

void caller_connection::on_input_ended()
{
    input_ended_ = true;
    const bool unsent = evbuffer_get_length(bufferevent_get_output(stream_)) > 0;
    if (responses_.empty() && !unsent)
    {
        end(end_cause::caller_closed);
        return;
    }
    phase_ = phase::finishing;
    receiving_ = false;
    if (!responses_.empty())
    {
        responses_.back().last = true;
        probe_caller();
    }
}

void caller_connection::probe_caller()
{
    const bool none_accepts = std::none_of(
        responses_.begin(), responses_.end(),
        [](const pending_response& each) { return each.accepts_interim; });
    if (none_accepts)
    {
        end(end_cause::caller_gone);
        return;
    }
    if (!responses_.front().accepts_interim)
    {
        return;
    }
    // The caller has closed the connection, or only its sending side and waits for its responses.
    // An interim response, which callers ignore, tells one from the other: a closed connection
    // answers it with a reset.
    if (evbuffer_get_length(bufferevent_get_output(stream_)) == 0)
    {
        write_interim_response();
    }
    timers_.cancel(gone_timer_);
    gone_timer_ = timers_.schedule_after(
        gone_check_delay,
        [this]
        {
            gone_timer_ = 0;
            if (look_at_peer(bufferevent_getfd(stream_)) == peer_state::failed)
            {
                end(end_cause::caller_gone);
            }
        });
}

void caller_connection::check_unread_caller()
{
    switch (look_at_peer(bufferevent_getfd(stream_)))
    {
    case peer_state::open:
        break;
    case peer_state::sending_closed:
        probe_caller();
        break;
    case peer_state::failed:
        end(end_cause::caller_gone);
        break;
    }
}

void caller_connection::write_interim_response()
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(stream_, interim.data(), interim.size());
}

void caller_connection::read_requests()
{
    evbuffer* input = bufferevent_get_input(stream_);
    if (phase_ != phase::open)
    {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    // Responses are written afterwards, so that one that closes the connection does not end
    // requests that have arrived with its own.
    reading_ = true;
    take_requests(input);
    reading_ = false;
    if (hooks_.draining())
    {
        begin_drain();
    }
    write_ready_responses();
}

void caller_connection::take_requests(evbuffer* input)
{
    while (phase_ == phase::open && responses_.size() < max_pipelined_requests)
    {
        const read_state state = reader_.read(input, hooks_.limits());
        if (state == read_state::error)
        {
            refuse_request(reader_.error());
            return;
        }
        if (state == read_state::done)
        {
            deliver_request();
            continue;
        }
        // The time limit starts with the first byte of the head and again with that of the body.
        const bool receiving = reader_.in_body() || evbuffer_get_length(input) > 0;
        if ((receiving && !receiving_) || reader_.in_body() != was_in_body_)
        {
            last_progress_ = timers_.now();
        }
        receiving_ = receiving;
        was_in_body_ = reader_.in_body();
        if (responses_.empty() && reader_.take_expect_continue())
        {
            write_interim_response();
        }
        return;
    }
    if (phase_ == phase::open)
    {
        bufferevent_disable(stream_, EV_READ);
    }
}

void caller_connection::deliver_request()
{
    receiving_ = false;
    was_in_body_ = false;
    last_progress_ = timers_.now();
    caller_request request = reader_.take();
    request.address = address_;
    const bool last = !reader_.keeps_connection() || reading_last_;
    if (last)
    {
        stop_reading_requests();
    }
    const std::uint64_t call = ++last_call_;
    responses_.push_back(
        {.call = call,
         .bodiless = request.method == "HEAD",
         .last = last,
         .accepts_interim = reader_.accepts_interim_responses(),
         .response = {}});
    hooks_.request(call, std::move(request));
}

void caller_connection::begin_drain()
{
    // Without this a caller that always has a request outstanding would never see a response that
    // closes its connection.
    if (phase_ != phase::open || responses_.empty())
    {
        return;
    }
    if (receiving_)
    {
        reading_last_ = true;
    }
    else
    {
        finish_after_pending();
    }
}

void caller_connection::finish_after_pending()
{
    assert(!responses_.empty());
    responses_.back().last = true;
    stop_reading_requests();
}

void caller_connection::stop_reading_requests()
{
    phase_ = phase::finishing;
    receiving_ = false;
    evbuffer* input = bufferevent_get_input(stream_);
    evbuffer_drain(input, evbuffer_get_length(input));
    // Reading may be disabled because of the number of pending requests. The end of the connection
    // would go unnoticed, and unread input would reset it when it is closed.
    bufferevent_enable(stream_, EV_READ);
}

void caller_connection::refuse_request(request_error error)
{
    // The refusal is sent after the pending responses.
    stop_reading_requests();
    pending_response& due = responses_.emplace_back();
    due.last = true;
    due.response = hooks_.refusal(error);
    write_ready_responses();
}

void caller_connection::reply(std::uint64_t call, const caller_response& response)
{
    const auto found = std::find_if(
        responses_.begin(), responses_.end(),
        [call](const auto& each) { return each.call == call && !each.response; });
    assert(found != responses_.end());
    found->response = response;
    write_ready_responses();
}

void caller_connection::write_ready_responses()
{
    if (reading_)
    {
        return;
    }
    while (!responses_.empty() && responses_.front().response)
    {
        pending_response due = std::move(responses_.front());
        responses_.pop_front();
        // A response that closes its connection also ends the requests after it, which may already
        // have reached a target. Therefore only the last pending response closes the connection.
        const bool may_end = responses_.empty() && !receiving_;
        due.last = due.last || (may_end && (due.response->close || hooks_.draining()));
        if (due.last && phase_ == phase::open)
        {
            stop_reading_requests();
        }
        write_response(due);
        last_progress_ = timers_.now();
    }
    if (phase_ == phase::open && responses_.empty() && reader_.take_expect_continue())
    {
        write_interim_response();
    }
    if (phase_ == phase::open && responses_.size() < max_pipelined_requests &&
        (bufferevent_get_enabled(stream_) & EV_READ) == 0)
    {
        bufferevent_enable(stream_, EV_READ);
        bufferevent_trigger(stream_, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

void caller_connection::write_response(const pending_response& due)
{
    const caller_response& response = *due.response;
    std::string head = status_line(response.status);
    for (const auto& [name, value] : response.fields)
    {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    if (due.last)
    {
        head.append("Connection: close\r\n");
    }
    const bool bodiless = due.bodiless || response.status == 204 || response.status == 304;
    if (!bodiless)
    {
        const std::size_t length = response.body ? response.body->size() : 0;
        head.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
    }
    head.append("\r\n");
    evbuffer* output = bufferevent_get_output(stream_);
    evbuffer_add(output, head.data(), head.size());
    if (!bodiless)
    {
        append_shared(output, response.body);
    }
}

void caller_connection::linger()
{
    // With both sides closed, the probe would take the connection for a failed one.
    timers_.cancel(std::exchange(gone_timer_, 0));
    shutdown(bufferevent_getfd(stream_), SHUT_WR);
    phase_ = phase::lingering;
    last_progress_ = timers_.now();
}

connection_summary caller_connection::summary(end_cause how) const
{
    const int socket = bufferevent_getfd(stream_);
    return {
        .how = how,
        .unanswered = responses_.size(),
        .unsent_bytes = evbuffer_get_length(bufferevent_get_output(stream_)),
        .unacknowledged_bytes = unacknowledged_bytes(socket).value_or(0),
        .unread_input = peek_input(socket) == socket_input::data};
}

void caller_connection::end(end_cause how)
{
    if (std::exchange(phase_, phase::ended) == phase::ended)
    {
        return;
    }
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    // The owner destroys this object, whose callbacks may be on the stack, so `ended` is called
    // from a timer.
    end_timer_ = timers_.schedule_after(
        core::duration::zero(), [this, ended = summary(how)] { hooks_.ended(ended); });
}

bool caller_connection::awaits_first_request() const
{
    return last_call_ == 0 && timers_.now() - last_progress_ < first_request_timeout;
}

bool caller_connection::is_busy() const
{
    switch (phase_)
    {
    case phase::open:
        return receiving_ || !responses_.empty() || awaits_first_request() ||
               evbuffer_get_length(bufferevent_get_output(stream_)) > 0;
    case phase::finishing:
    case phase::lingering:
    case phase::half_closed:
        return true;
    case phase::ended:
        break;
    }
    return false;
}

void caller_connection::close_if_idle()
{
    const int socket = bufferevent_getfd(stream_);
    if (phase_ != phase::open || is_busy() || peek_input(socket) != socket_input::none)
    {
        return;
    }
    bufferevent_disable(stream_, EV_READ);
    shutdown(socket, SHUT_WR);
    phase_ = phase::half_closed;
    last_progress_ = timers_.now();
}

void caller_connection::finish()
{
    if (phase_ == phase::open && receiving_)
    {
        refuse_request(request_error::stopping);
    }
    const std::size_t unsent = evbuffer_get_length(bufferevent_get_output(stream_));
    if (unsent > 0)
    {
        reserve_send_buffer(bufferevent_getfd(stream_), unsent);
    }
    close_if_idle();
}

void caller_connection::check_delivery(end_cause delivered)
{
    // Until the answer is acknowledged, further input would let the kernel reset the closed
    // connection and drop the rest of the answer.
    // The FIN has been sent and counts as one byte.
    const std::size_t with_fin = unacknowledged_bytes(bufferevent_getfd(stream_)).value_or(0);
    const std::size_t unacknowledged = with_fin - std::min<std::size_t>(with_fin, 1);
    if (unacknowledged != std::exchange(unacknowledged_bytes_, unacknowledged))
    {
        last_progress_ = timers_.now();
    }
    const auto age = timers_.now() - last_progress_;
    if (unacknowledged > 0 && age > hooks_.limits().idle_time)
    {
        end(end_cause::slow_reader);
    }
    else if (unacknowledged == 0 && (input_ended_ || age > linger_time))
    {
        end(delivered);
    }
}

void caller_connection::end_if_closed()
{
    if (peek_input(bufferevent_getfd(stream_)) == socket_input::ended)
    {
        end(end_cause::idle);
        return;
    }
    check_delivery(end_cause::idle);
}

void caller_connection::check_timeouts()
{
    // A caller that is still receiving its response is not idle.
    const auto now = timers_.now();
    const std::size_t unsent = evbuffer_get_length(bufferevent_get_output(stream_));
    if (unsent != std::exchange(unsent_bytes_, unsent))
    {
        last_progress_ = now;
    }
    const auto age = now - last_progress_;
    const core::caller_limits& limits = hooks_.limits();
    if ((bufferevent_get_enabled(stream_) & EV_READ) == 0 && !responses_.empty() &&
        phase_ != phase::ended)
    {
        // Input is not read after its end and while many requests are pending, so that no event
        // reports that the caller has gone.
        check_unread_caller();
    }
    switch (phase_)
    {
    case phase::open:
        if (receiving_ && age > limits.request_time)
        {
            refuse_request(request_error::slow_caller);
        }
        else if (!receiving_ && responses_.empty() && age > limits.idle_time)
        {
            unsent > 0 ? end(end_cause::slow_reader) : close_if_idle();
        }
        break;
    case phase::finishing:
        if (responses_.empty() && age > limits.idle_time)
        {
            end(end_cause::slow_reader);
        }
        break;
    case phase::lingering:
        check_delivery(end_cause::lingered);
        break;
    case phase::half_closed:
        end_if_closed();
        break;
    case phase::ended:
        break;
    }
}

} // namespace catkintally::entry
