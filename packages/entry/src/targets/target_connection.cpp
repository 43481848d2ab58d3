#include <catkintally/entry/targets/acknowledgement_check.hpp>
#include <catkintally/entry/targets/target_connection.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace catkintally::entry
{

namespace
{

/// Maximum number of bytes that libevent reads from a socket at once.
constexpr std::size_t max_read_size = 16'384;

/// Checks of a connection within the time for which bytes may stay unacknowledged.
constexpr int acknowledgement_checks = 4;

bool has_body(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

/// Idle time after which the target closes the connection, if its answer has a Keep-Alive
/// timeout.
std::optional<core::duration> keep_alive_timeout(const header_list& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string* field = find_field(fields, "Keep-Alive");
    const auto at = field == nullptr ? std::string::npos : field->find(parameter);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    std::string_view digits = std::string_view(*field).substr(at + parameter.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const auto seconds = parse_number(digits);
    return seconds ? std::optional<core::duration>(std::chrono::seconds(*seconds)) : std::nullopt;
}

std::string serialize_head(const target_request& request)
{
    std::string head = request.method + ' ' + request.uri + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields)
    {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    if (has_body(request.method))
    {
        const std::size_t length = request.body ? request.body->size() : 0;
        head.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
    }
    return head.append("\r\n");
}

} // namespace

target_connection::target_connection(
    runtime::event_loop& loop,
    core::timer_service& timers,
    const target_limits& limits,
    const std::string& address)
    : timers_(timers)
    , limits_(limits)
    , address_(address)
    , stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(
        stream_, &target_connection::on_readable, nullptr, &target_connection::on_event, this);
    // Heads are read in one piece and bodies as they arrive, so only unsolicited bytes can
    // accumulate in the buffer.
    bufferevent_setwatermark(stream_, EV_READ, 0, limits_.header_bytes + max_read_size);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

target_connection::~target_connection()
{
    timers_.cancel(connect_timer_);
    timers_.cancel(acknowledgement_timer_);
    bufferevent_free(stream_);
}

void target_connection::send(const target_request& request, dispatch_hook done)
{
    assert(!done_ && !reuse_forbidden_);
    done_ = std::move(done);
    request_ = request;
    sent_ = false;
    send_refused_ = false;
    if (connected_)
    {
        write_request();
        return;
    }
    sockaddr_storage storage{};
    int length = sizeof storage;
    auto* name = reinterpret_cast<sockaddr*>(&storage);
    if (evutil_parse_sockaddr_port(address_.c_str(), name, &length) != 0)
    {
        fail("invalid target address");
        return;
    }
    connect_timer_ = timers_.schedule_after(
        limits_.connect_time,
        [this]
        {
            connect_timer_ = 0;
            fail("connect timed out");
        });
    // on_event may report the failure too, possibly before this call returns; the first report
    // counts.
    if (bufferevent_socket_connect(stream_, name, length) != 0)
    {
        fail("connect failed");
    }
}

void target_connection::on_event(bufferevent*, short what, void* self)
{
    auto* connection = static_cast<target_connection*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        connection->on_connected();
    }
    else if ((what & BEV_EVENT_EOF) != 0)
    {
        connection->end_of_input();
    }
    else if ((what & BEV_EVENT_ERROR) != 0)
    {
        connection->fail(connection->connected_ ? "connection reset" : "connection refused");
    }
}

void target_connection::on_connected()
{
    if (!done_)
    {
        // The request ended before the connection was established.
        return;
    }
    connected_ = true;
    timers_.cancel(std::exchange(connect_timer_, 0));
    const int on = 1;
    const int socket = bufferevent_getfd(stream_);
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    write_request();
}

void target_connection::start_reader()
{
    reader_ = std::make_unique<response_reader>(response_reader_options{
        .header_bytes = limits_.header_bytes,
        .body_bytes =
            std::min(limits_.body_bytes, request_.answer_bytes.value_or(limits_.body_bytes)),
        .head_request = request_.method == "HEAD",
        .close_delimited = limits_.close_delimited,
        .budget = limits_.budget});
}

void target_connection::write_request()
{
    start_reader();
    if (!request_.may_send())
    {
        send_refused_ = true;
        fail("sending was refused");
        return;
    }
    sent_ = true;
    sent_at_ = timers_.now();
    const std::string head = serialize_head(request_);
    evbuffer* output = bufferevent_get_output(stream_);
    evbuffer_add(output, head.data(), head.size());
    if (has_body(request_.method))
    {
        append_shared(output, request_.body);
    }
    schedule_acknowledgement_check();
}

void target_connection::schedule_acknowledgement_check()
{
    acknowledgement_timer_ = timers_.schedule_after(
        limits_.unacknowledged_time / acknowledgement_checks, [this] { check_acknowledgements(); });
}

void target_connection::check_acknowledgements()
{
    schedule_acknowledgement_check();
    tcp_info state{};
    socklen_t length = sizeof state;
    if (getsockopt(bufferevent_getfd(stream_), IPPROTO_TCP, TCP_INFO, &state, &length) == 0 &&
        lacks_acknowledgements(state, timers_.now() - sent_at_, limits_.unacknowledged_time))
    {
        fail("sent bytes were not acknowledged");
    }
}

void target_connection::on_readable(bufferevent*, void* self)
{
    static_cast<target_connection*>(self)->read_answer();
}

void target_connection::read_answer()
{
    if (!done_ || reader_ == nullptr)
    {
        // No request is pending, so these bytes are unsolicited.
        reuse_forbidden_ = true;
        return;
    }
    switch (reader_->read(bufferevent_get_input(stream_)))
    {
    case read_state::more:
        break;
    case read_state::done:
        handle_answer();
        break;
    case read_state::error:
        fail(reader_->error());
        break;
    }
}

void target_connection::end_of_input()
{
    if (done_ && reader_ != nullptr && reader_->end_of_input() == read_state::done)
    {
        handle_answer();
        return;
    }
    fail(reader_ == nullptr || reader_->error().empty() ? "connection closed" : reader_->error());
}

void target_connection::handle_answer()
{
    auto answer = reader_->take();
    const bool kept = reader_->keeps_connection();
    if (request_.expected_echo && !request_.expected_echo->matches(answer->headers))
    {
        // The matching answer may still follow, but a surplus answer shows that this connection
        // can't be trusted with another request.
        reuse_forbidden_ = true;
        if (!kept)
        {
            fail("received the answer to another request");
            return;
        }
        start_reader();
        read_answer();
        return;
    }
    // The target would read the unsent rest of a body as the next request.
    const bool body_unsent = evbuffer_get_length(bufferevent_get_output(stream_)) > 0;
    reuse_forbidden_ = reuse_forbidden_ || !kept || body_unsent;
    const auto keep_alive = keep_alive_timeout(answer->headers);
    idle_until_ =
        timers_.now() + std::min(limits_.idle_time, keep_alive.value_or(limits_.idle_time));
    const bool has_surplus = evbuffer_get_length(bufferevent_get_input(stream_)) > 0;
    finish(
        {.result = dispatch_result::answered,
         .answer = std::move(answer),
         .detail = {},
         .has_surplus = has_surplus});
}

bool target_connection::is_delivered() const
{
    int unacknowledged = 0;
    return sent_ && evbuffer_get_length(bufferevent_get_output(stream_)) == 0 &&
           ioctl(bufferevent_getfd(stream_), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

bool target_connection::is_reusable() const
{
    const int socket = bufferevent_getfd(stream_);
    if (reuse_forbidden_ || done_ || socket < 0 ||
        evbuffer_get_length(bufferevent_get_input(stream_)) > 0)
    {
        return false;
    }
    // A readable socket means surplus bytes or a closed connection.
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

void target_connection::fail(std::string detail)
{
    reuse_forbidden_ = true;
    // If no byte was passed to the socket, nothing can have reached the target.
    finish(
        {.result = send_refused_ ? dispatch_result::send_refused
                   : sent_       ? dispatch_result::lost
                                 : dispatch_result::not_sent,
         .answer = {},
         .detail = std::move(detail)});
}

void target_connection::finish(dispatch_end end)
{
    if (!done_)
    {
        return;
    }
    timers_.cancel(std::exchange(connect_timer_, 0));
    timers_.cancel(std::exchange(acknowledgement_timer_, 0));
    if (reader_ != nullptr)
    {
        end.interim_fields = reader_->interim_fields();
    }
    end.service_time = sent_ ? timers_.now() - sent_at_ : core::duration::zero();
    request_ = {};
    std::exchange(done_, nullptr)(std::move(end));
}

} // namespace catkintally::entry
