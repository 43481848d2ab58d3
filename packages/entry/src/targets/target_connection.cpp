#include <catkintally/entry/http/response_check.hpp>
#include <catkintally/entry/targets/target_connection.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <cassert>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace catkintally::entry
{

namespace
{

/// The path's own deadlines end a dispatch; evhttp's timeouts only must not come before them.
constexpr timeval never = {.tv_sec = 86'400, .tv_usec = 0};

evhttp_cmd_type command_of(std::string_view method)
{
    constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7> commands = {
        {{"GET", EVHTTP_REQ_GET},
         {"HEAD", EVHTTP_REQ_HEAD},
         {"POST", EVHTTP_REQ_POST},
         {"PUT", EVHTTP_REQ_PUT},
         {"DELETE", EVHTTP_REQ_DELETE},
         {"OPTIONS", EVHTTP_REQ_OPTIONS},
         {"PATCH", EVHTTP_REQ_PATCH}}};
    for (const auto& [name, command] : commands)
    {
        if (name == method)
        {
            return command;
        }
    }
    assert(false && "the front accepts only the methods above");
    return EVHTTP_REQ_GET;
}

bool has_body(evhttp_cmd_type command)
{
    return command == EVHTTP_REQ_POST || command == EVHTTP_REQ_PUT || command == EVHTTP_REQ_PATCH;
}

} // namespace

target_connection::target_connection(
    runtime::event_loop& loop,
    core::timer_service& timers,
    const target_limits& limits,
    const std::string& address)
    : timers_(timers)
    , limits_(limits)
{
    // Split "IP:port"; an IPv6 address stands in brackets.
    const auto colon = address.rfind(':');
    std::string host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
    }
    const auto port =
        colon == std::string::npos ? std::nullopt : parse_number(address.substr(colon + 1));
    connection_ = evhttp_connection_base_new(
        loop.base(), nullptr, host.c_str(), static_cast<std::uint16_t>(port.value_or(0)));
    assert(connection_ != nullptr);
    evhttp_connection_set_retries(connection_, 0);
    evhttp_connection_set_timeout_tv(connection_, &never);
    // The gate holds the head to its limit; trailers come on top of it.
    evhttp_connection_set_max_headers_size(
        connection_, static_cast<ev_ssize_t>(2 * limits_.header_bytes));
    evhttp_connection_set_max_body_size(connection_, static_cast<ev_ssize_t>(limits_.body_bytes));

    bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
    gate_ = std::make_unique<head_gate>(
        bufferevent_get_input(stream),
        head_gate_options{
            .max_bytes = limits_.header_bytes,
            .check = [this](std::string_view head) { return check_head(head); },
            .too_large = [this] { fail_later("response head exceeds the limit"); },
            .max_chunked_bytes = limits_.body_bytes,
            .trailers = true,
            .bad_body = [this](chunk_state) { fail_later("chunked response body"); }});
    watch_output();
}

target_connection::~target_connection()
{
    timers_.cancel(connect_timer_);
    timers_.cancel(fail_timer_);
    // The gate watches a buffer that the connection owns.
    gate_.reset();
    evhttp_connection_free(connection_);
}

void target_connection::watch_output()
{
    // evhttp writes the request once the connection stands, so bytes in the output buffer are the
    // earliest sign that any can leave.
    const auto on_output = [](evbuffer*, const evbuffer_cb_info* info, void* context)
    {
        auto* self = static_cast<target_connection*>(context);
        if (info->n_added > 0 && !self->sent_ && !self->held_back_)
        {
            self->on_first_byte();
        }
    };
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(connection_)), on_output, this);
}

void target_connection::on_first_byte()
{
    timers_.cancel(std::exchange(connect_timer_, 0));
    if (may_send_())
    {
        sent_ = true;
        sent_at_ = timers_.now();
        return;
    }
    // The bytes are still in this process, and a socket that is shut down takes none of them.
    held_back_ = true;
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)), SHUT_RDWR);
    fail_later("held back");
}

void target_connection::send(const target_request& request, dispatch_hook done)
{
    assert(!done_ && !spent_);
    done_ = std::move(done);
    may_send_ = request.may_send;
    sent_ = false;
    held_back_ = false;
    detail_.clear();
    const evhttp_cmd_type command = command_of(request.method);
    head_request_ = command == EVHTTP_REQ_HEAD;

    evhttp_request* out = evhttp_request_new(&target_connection::on_response, this);
    evkeyvalq* fields = evhttp_request_get_output_headers(out);
    for (const auto& [name, value] : request.fields)
    {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    if (has_body(command))
    {
        const std::size_t length = request.body ? request.body->size() : 0;
        evhttp_add_header(fields, "Content-Length", std::to_string(length).c_str());
        append_shared(evhttp_request_get_output_buffer(out), request.body);
    }

    gate_->await_head();
    connect_timer_ = timers_.schedule_after(
        limits_.connect_time,
        [this]
        {
            connect_timer_ = 0;
            finish({.result = dispatch_result::not_sent, .answer = {}, .detail = "no connection"});
        });
    const int started = evhttp_make_request(connection_, out, command, request.uri.c_str());
    if (started != 0)
    {
        finish({.result = dispatch_result::lost, .answer = {}, .detail = "not started"});
        return;
    }
    const int on = 1;
    const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
    if (done_ && socket >= 0)
    {
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
}

bool target_connection::is_reusable() const
{
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
    const int socket = bufferevent_getfd(stream);
    if (spent_ || done_ || socket < 0 || evbuffer_get_length(bufferevent_get_input(stream)) > 0)
    {
        return false;
    }
    // Readable means a surplus byte or the end of the connection.
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

head_verdict target_connection::check_head(std::string_view text)
{
    const response_verdict verdict = check_response_head(text, head_request_);
    switch (verdict)
    {
    case response_verdict::final_head:
        return head_verdict::pass;
    case response_verdict::final_chunked:
        return head_verdict::pass_chunked;
    case response_verdict::interim:
        return head_verdict::drop;
    default:
        break;
    }
    fail_later("response head: " + std::string(verdict_name(verdict)));
    return head_verdict::reject;
}

void target_connection::fail_later(std::string detail)
{
    // The caller is evhttp's own read; the connection may be destroyed only from the loop.
    spent_ = true;
    detail_ = std::move(detail);
    fail_timer_ = timers_.schedule_after(
        core::duration::zero(),
        [this]
        {
            fail_timer_ = 0;
            finish({.result = dispatch_result::lost, .answer = {}, .detail = detail_});
        });
}

void target_connection::on_response(evhttp_request* request, void* context)
{
    auto* self = static_cast<target_connection*>(context);
    if (!self->done_)
    {
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0)
    {
        self->finish(
            {.result = dispatch_result::lost,
             .answer = {},
             .detail = self->detail_.empty() ? "connection closed" : self->detail_});
        return;
    }
    self->finish(self->take_answer(request));
}

dispatch_end target_connection::take_answer(evhttp_request* request) const
{
    auto answer = std::make_shared<core::stored_answer>();
    answer->status = static_cast<std::uint16_t>(evhttp_request_get_response_code(request));
    const evkeyvalq* fields = evhttp_request_get_input_headers(request);
    for (const evkeyval* field = fields->tqh_first; field != nullptr; field = field->next.tqe_next)
    {
        answer->headers.emplace_back(field->key, field->value);
    }
    answer->body = drain_text(evhttp_request_get_input_buffer(request));

    // The body must have exactly the declared length; a trailer may not have added one.
    const body_framing framing = framing_of(answer->headers);
    const bool bodiless = head_request_ || answer->status == 204 || answer->status == 304;
    if (!bodiless && framing.length && *framing.length != answer->body.size())
    {
        return {.result = dispatch_result::lost, .answer = {}, .detail = "body length differs"};
    }
    return {.result = dispatch_result::answered, .answer = std::move(answer), .detail = {}};
}

void target_connection::finish(dispatch_end end)
{
    if (!done_)
    {
        return;
    }
    timers_.cancel(std::exchange(connect_timer_, 0));
    timers_.cancel(std::exchange(fail_timer_, 0));
    idle_since_ = timers_.now();
    if (end.result != dispatch_result::answered)
    {
        spent_ = true;
        // Without a byte in the output buffer the connection never stood.
        end.result = held_back_ ? dispatch_result::held_back
                     : sent_    ? dispatch_result::lost
                                : dispatch_result::not_sent;
    }
    end.service_time = sent_ ? idle_since_ - sent_at_ : core::duration::zero();
    std::exchange(done_, nullptr)(std::move(end));
}

} // namespace catkintally::entry
