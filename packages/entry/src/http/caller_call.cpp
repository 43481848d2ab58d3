#include <catkintally/entry/http/caller_call.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <cassert>
#include <utility>

#include <sys/socket.h>

namespace catkintally::entry
{

namespace
{

std::string method_name(evhttp_cmd_type command)
{
    switch (command)
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

} // namespace

caller_call::caller_call(
    runtime::event_loop& loop, evhttp_request* request, caller_call_hooks hooks)
    : handle_(request)
    , connection_(evhttp_request_get_connection(request))
    , hooks_(std::move(hooks))
{
    read_request();
    evhttp_connection_set_closecb(connection_, &caller_call::on_connection_closed, this);
    const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
    watch_ = event_new(loop.base(), socket, EV_READ | EV_CLOSED, &caller_call::on_socket, this);
    event_add(watch_, nullptr);
}

caller_call::~caller_call()
{
    stop_watch();
    if (connection_ != nullptr)
    {
        evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    }
}

void caller_call::read_request()
{
    request_.method = method_name(evhttp_request_get_command(handle_));

    // The path is used as received; an absolute URI loses its scheme and authority.
    request_.uri = evhttp_request_get_uri(handle_);
    if (!request_.uri.starts_with('/'))
    {
        const auto authority = request_.uri.find("//");
        const auto slash = request_.uri.find('/', authority + 2);
        request_.uri = slash == std::string::npos ? "/" : request_.uri.substr(slash);
    }
    request_.path = request_.uri.substr(0, request_.uri.find('?'));

    const evkeyvalq* fields = evhttp_request_get_input_headers(handle_);
    for (const evkeyval* field = fields->tqh_first; field != nullptr; field = field->next.tqe_next)
    {
        request_.fields.emplace_back(field->key, field->value);
    }
    const std::string* host = find_field(request_.fields, "Host");
    request_.host = host == nullptr ? "" : *host;
    char* address = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(connection_, &address, &port);
    request_.address = address == nullptr ? "" : address;
    request_.body =
        std::make_shared<const std::string>(drain_text(evhttp_request_get_input_buffer(handle_)));
}

void caller_call::on_socket(int socket, short, void* context)
{
    auto* self = static_cast<caller_call*>(context);
    self->stop_watch();
    // Readable data is a pipelined request: it waits, and the watch ends, because it would fire for
    // the same data again and again.
    char byte = 0;
    const auto peeked = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked == 0 || (peeked < 0 && errno != EAGAIN))
    {
        self->report_gone();
    }
}

void caller_call::on_connection_closed(evhttp_connection*, void* context)
{
    auto* self = static_cast<caller_call*>(context);
    self->stop_watch();
    self->connection_ = nullptr;
    self->report_gone();
}

void caller_call::stop_watch()
{
    if (watch_ != nullptr)
    {
        event_free(std::exchange(watch_, nullptr));
    }
}

void caller_call::report_gone()
{
    if (auto hook = std::exchange(gone_, nullptr))
    {
        hook();
    }
}

void caller_call::reply(const caller_reply& response)
{
    assert(handle_ != nullptr);
    stop_watch();
    gone_ = nullptr;
    if (connection_ != nullptr)
    {
        evhttp_connection_set_closecb(std::exchange(connection_, nullptr), nullptr, nullptr);
    }

    evkeyvalq* fields = evhttp_request_get_output_headers(handle_);
    for (const auto& [name, value] : response.fields)
    {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    if (response.close || hooks_.closing())
    {
        evhttp_add_header(fields, "Connection", "close");
    }
    evbuffer* body = evbuffer_new();
    const bool bodiless =
        request_.method == "HEAD" || response.status == 204 || response.status == 304;
    if (!bodiless)
    {
        // evhttp would leave the length out for an HTTP/1.0 caller, who could then not tell a
        // truncated response from a whole one.
        const std::size_t length = response.body ? response.body->size() : 0;
        evhttp_add_header(fields, "Content-Length", std::to_string(length).c_str());
        append_shared(body, response.body);
    }
    evhttp_send_reply(std::exchange(handle_, nullptr), response.status, nullptr, body);
    evbuffer_free(body);
    hooks_.answered();
}

} // namespace catkintally::entry
