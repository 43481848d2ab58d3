#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/http/http_front.hpp>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>

#include <algorithm>
#include <limits>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkintally::entry
{

namespace
{

constexpr std::string_view health_path = "/catkintally/health";

/// The front's own limits end connections; evhttp's timeout only must not come before them.
constexpr timeval never = {.tv_sec = 86'400, .tv_usec = 0};

constexpr int backlog = 1024;

} // namespace

int bind_listener(const std::string& address)
{
    // libevent's parser refuses port 0, so the port is read apart.
    const auto colon = std::min(address.rfind(':'), address.size());
    const auto port = parse_number(
        std::string_view(address).substr(colon).substr(colon < address.size() ? 1 : 0));
    sockaddr_storage storage{};
    int length = sizeof storage;
    auto* name = reinterpret_cast<sockaddr*>(&storage);
    if (!port || *port > std::numeric_limits<std::uint16_t>::max() ||
        evutil_parse_sockaddr_port(address.substr(0, colon).c_str(), name, &length) != 0)
    {
        return -1;
    }
    (storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                   : reinterpret_cast<sockaddr_in*>(&storage)->sin_port) =
        htons(static_cast<std::uint16_t>(*port));
    const int bound = socket(name->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Accepted sockets inherit this. Without it the last segment of a large response waits for the
    // caller's delayed acknowledgement.
    setsockopt(bound, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (bind(bound, name, static_cast<socklen_t>(length)) != 0 || ::listen(bound, backlog) != 0)
    {
        close(bound);
        return -1;
    }
    return bound;
}

std::uint16_t bound_port(int socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &length);
    return ntohs(
        storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                      : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

http_front::http_front(
    runtime::event_loop& loop, core::timer_service& timers, http_front_options options)
    : loop_(loop)
    , timers_(timers)
    , options_(std::move(options))
    , connections_(
          loop,
          timers,
          options_.limits,
          [this](request_fault fault) { return refusal_text(fault); })
{
}

http_front::~http_front()
{
    timers_.cancel(end_timer_);
    ended_.clear();
    calls_.clear();
    if (server_ != nullptr)
    {
        evhttp_free(server_);
    }
}

bool http_front::listen()
{
    const int socket = bind_listener(options_.address);
    if (socket < 0)
    {
        return false;
    }
    server_ = evhttp_new(loop_.base());
    evhttp_set_timeout_tv(server_, &never);
    // The gate holds heads to their limit; trailers come on top of it.
    evhttp_set_max_headers_size(server_, static_cast<ev_ssize_t>(2 * options_.limits.header_bytes));
    evhttp_set_max_body_size(server_, static_cast<ev_ssize_t>(options_.limits.body_bytes));
    evhttp_set_flags(server_, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_default_content_type(server_, nullptr);
    evhttp_set_allowed_methods(
        server_, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                     EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_bevcb(
        server_,
        [](event_base*, void* context)
        { return static_cast<http_front*>(context)->connections_.create(); },
        this);
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* context)
        { static_cast<http_front*>(context)->on_request(request); },
        this);
    bound_ = evhttp_accept_socket_with_handle(server_, socket);
    return bound_ != nullptr;
}

std::uint16_t http_front::port() const
{
    return bound_port(evhttp_bound_socket_get_fd(bound_));
}

void http_front::close_listener()
{
    if (bound_ != nullptr)
    {
        evhttp_del_accept_socket(server_, std::exchange(bound_, nullptr));
    }
    connections_.close_idle();
}

bool http_front::is_busy() const
{
    return !calls_.empty() || connections_.is_busy();
}

void http_front::on_request(evhttp_request* request)
{
    bufferevent* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    connections_.handling(stream);
    // The reference keeps the stream valid until the reply, even if evhttp drops the connection.
    bufferevent_incref(stream);
    const std::uint64_t id = ++next_call_;
    auto owned = std::make_unique<caller_call>(
        loop_, request,
        caller_call_hooks{
            .answered =
                [this, id, stream]
            {
                connections_.replied(stream);
                bufferevent_decref(stream);
                retire(id);
            },
            .closing = [this] { return draining_; }});
    caller_call& call = *owned;
    calls_.emplace(id, std::move(owned));

    if (call.request().path == health_path)
    {
        const bool healthy = options_.healthy() && !draining_;
        call.reply(
            {.status = static_cast<std::uint16_t>(healthy ? 200 : 503),
             .fields = {},
             .body = std::make_shared<const std::string>(healthy ? "ok\n" : "unavailable\n"),
             .close = false});
        return;
    }
    options_.handle(call);
}

void http_front::retire(std::uint64_t id)
{
    // The call's reply() is on the stack.
    ended_.push_back(std::move(calls_.extract(id).mapped()));
    if (end_timer_ == 0)
    {
        end_timer_ = timers_.schedule_after(
            core::duration::zero(),
            [this]
            {
                end_timer_ = 0;
                ended_.clear();
            });
    }
}

std::string http_front::refusal_text(request_fault fault)
{
    if (options_.metrics != nullptr)
    {
        options_.metrics
            ->counter(
                "catkintally_requests_invalid_total", {{"reason", std::string(fault_name(fault))}})
            .add();
    }
    const std::string status = std::to_string(fault_status(fault));
    const std::string body = std::string(fault_name(fault)) + "\n";
    std::string text = "HTTP/1.1 " + status + " Refused\r\nConnection: close\r\n";
    text.append(outcome_header).append(": not-run\r\n");
    text.append(reason_header).append(": ").append(fault_name(fault)).append("\r\n");
    text.append(request_id_header).append(": ").append(options_.next_request_id()).append("\r\n");
    text.append(
        fault == request_fault::method_not_allowed
            ? "Allow: GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH\r\n"
            : "");
    text.append("Content-Type: text/plain\r\nContent-Length: ");
    return text.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

} // namespace catkintally::entry
