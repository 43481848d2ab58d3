#include <catkintally/entry/http/http_frontend.hpp>
#include <catkintally/entry/http/refusal.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <algorithm>
#include <array>
#include <limits>
#include <numeric>
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

/// Interval at which the callers' time limits are checked.
constexpr auto check_interval = std::chrono::milliseconds(250);

constexpr int backlog = 1024;

/// Retry-After while there is no memory for a body. Most requests with a body are answered, and the
/// memory is free again, within this time.
constexpr auto no_memory_retry_after = std::chrono::milliseconds(500);

/// Retry-After of an instance that stops. Others are ready.
constexpr auto stopping_retry_after = std::chrono::milliseconds(100);

core::duration retry_after_of(request_error error)
{
    switch (error)
    {
    case request_error::no_body_memory:
        return no_memory_retry_after;
    case request_error::stopping:
        return stopping_retry_after;
    default:
        return core::duration::zero();
    }
}

/// IP address of a socket address, without the port; "" on failure.
std::string ip_address_of(const sockaddr* name)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    const void* address =
        name->sa_family == AF_INET6
            ? static_cast<const void*>(&reinterpret_cast<const sockaddr_in6*>(name)->sin6_addr)
            : &reinterpret_cast<const sockaddr_in*>(name)->sin_addr;
    const char* written = evutil_inet_ntop(name->sa_family, address, text.data(), text.size());
    return written == nullptr ? "" : written;
}

} // namespace

int bind_listener(const std::string& address)
{
    // libevent's parser refuses port 0, so the port is parsed separately.
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

http_frontend::http_frontend(
    runtime::event_loop& loop, core::timer_service& timers, http_frontend_options options)
    : loop_(loop)
    , timers_(timers)
    , options_(std::move(options))
{
    check_connections();
}

http_frontend::~http_frontend()
{
    timers_.cancel(end_timer_);
    timers_.cancel(check_timer_);
    for (const auto& [id, connection] : connections_)
    {
        if (!connection->has_ended())
        {
            record_end(connection->summary(end_cause::process_end));
        }
    }
    if (listener_ != nullptr)
    {
        evconnlistener_free(listener_);
    }
}

bool http_frontend::listen()
{
    const int socket = bind_listener(options_.address);
    if (socket < 0)
    {
        return false;
    }
    listener_ = evconnlistener_new(
        loop_.base(),
        [](evconnlistener*, int accepted, sockaddr* name, int, void* context)
        { static_cast<http_frontend*>(context)->accept(accepted, ip_address_of(name)); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, socket);
    return listener_ != nullptr;
}

std::uint16_t http_frontend::port() const
{
    return bound_port(evconnlistener_get_fd(listener_));
}

void http_frontend::begin_drain()
{
    draining_ = true;
    for (const auto& [id, connection] : connections_)
    {
        connection->begin_drain();
    }
}

void http_frontend::close_listener()
{
    if (listener_ != nullptr)
    {
        accept_queued();
        evconnlistener_free(std::exchange(listener_, nullptr));
    }
    close_idle();
}

void http_frontend::accept_queued()
{
    // For their callers, connections in the listen queue are established and may carry a request
    // already. Closing the listener would reset them.
    evconnlistener_disable(listener_);
    while (true)
    {
        sockaddr_storage storage{};
        socklen_t length = sizeof storage;
        auto* name = reinterpret_cast<sockaddr*>(&storage);
        const int accepted =
            accept4(evconnlistener_get_fd(listener_), name, &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
        {
            return;
        }
        accept(accepted, ip_address_of(name));
    }
}

void http_frontend::close_idle()
{
    for (const auto& [id, connection] : connections_)
    {
        connection->close_if_idle();
    }
}

void http_frontend::finish()
{
    for (const auto& [id, connection] : connections_)
    {
        connection->finish();
    }
}

bool http_frontend::is_busy() const
{
    return !pending_requests_.empty() ||
           std::any_of(
               connections_.begin(), connections_.end(),
               [](const auto& each) { return each.second->is_busy(); });
}

void http_frontend::accept(int socket, std::string address)
{
    const connection_id id = ++last_connection_;
    connections_.emplace(
        id, std::make_unique<caller_connection>(
                loop_.base(), timers_, socket, std::move(address),
                caller_connection_hooks{
                    .request =
                        [this, id](std::uint64_t call, caller_request request) {
                            start_request({id, call}, std::move(request));
                        },
                    .refusal = [this](request_error error) { return make_refusal(error); },
                    .ended = [this, id](const connection_summary& summary)
                    { remove_connection(id, summary); },
                    .draining = [this] { return draining_; },
                    .limits = [this]() -> const core::caller_limits& { return options_.limits; },
                    .budget = options_.budget}));
}

void http_frontend::start_request(const request_key& key, caller_request request)
{
    auto owned = std::make_unique<pending_request>(
        std::move(request),
        [this, key](const caller_response& response) { end_request(key, response); });
    pending_request& call = *owned;
    pending_requests_.emplace(key, std::move(owned));
    const caller_request& received = call.request();
    if (received.path == health_path && (received.method == "GET" || received.method == "HEAD") &&
        options_.is_health_check(received))
    {
        answer_health_check(call);
        return;
    }
    options_.handle(call);
}

void http_frontend::answer_health_check(pending_request& call)
{
    const bool healthy = options_.healthy() && !draining_;
    call.reply(
        {.status = static_cast<std::uint16_t>(healthy ? 200 : 503),
         .fields = {},
         .body = std::make_shared<const std::string>(healthy ? "ok\n" : "unavailable\n"),
         .close = false});
}

void http_frontend::end_request(const request_key& key, const caller_response& response)
{
    ended_requests_.push_back(std::move(pending_requests_.extract(key).mapped()));
    if (end_timer_ == 0)
    {
        end_timer_ = timers_.schedule_after(
            core::duration::zero(),
            [this]
            {
                end_timer_ = 0;
                ended_requests_.clear();
            });
    }
    // The caller may have disconnected.
    const auto connection = connections_.find(key.first);
    if (connection != connections_.end())
    {
        connection->second->reply(key.second, response);
    }
}

std::size_t http_frontend::unsent_bytes() const
{
    return std::accumulate(
        connections_.begin(), connections_.end(), std::size_t{0},
        [](std::size_t sum, const auto& each)
        { return sum + each.second->summary(end_cause::process_end).unsent_bytes; });
}

void http_frontend::record_end(const connection_summary& summary)
{
    const std::string how(end_cause_name(summary.how));
    if (options_.metrics != nullptr)
    {
        options_.metrics->counter("catkintally_caller_connections_ended_total", {{"how", how}})
            .add();
    }
    const bool incomplete = summary.unanswered > 0 || summary.unsent_bytes > 0;
    if (draining_ && (incomplete || (summary.unacknowledged_bytes > 0 && summary.unread_input)))
    {
        log_event(
            runtime::event_id::caller_cut,
            {{"how", how},
             {"unanswered", std::to_string(summary.unanswered)},
             {"unsent", std::to_string(summary.unsent_bytes)},
             {"unacknowledged", std::to_string(summary.unacknowledged_bytes)},
             {"unread_input", summary.unread_input ? "yes" : "no"}});
    }
}

void http_frontend::remove_connection(connection_id id, const connection_summary& summary)
{
    record_end(summary);
    // Removed first and destroyed last, so that a call that ends meanwhile does not find the
    // connection.
    const auto ended = connections_.extract(id);
    std::vector<pending_request*> unfinished;
    for (auto at = pending_requests_.lower_bound({id, 0});
         at != pending_requests_.end() && at->first.first == id; ++at)
    {
        unfinished.push_back(at->second.get());
    }
    for (pending_request* call : unfinished)
    {
        call->notify_disconnect();
    }
}

void http_frontend::check_connections()
{
    for (const auto& [id, connection] : connections_)
    {
        connection->check_timeouts();
    }
    check_timer_ = timers_.schedule_after(check_interval, [this] { check_connections(); });
}

caller_response http_frontend::make_refusal(request_error error)
{
    const std::string reason(request_error_name(error));
    if (options_.metrics != nullptr)
    {
        options_.metrics->counter("catkintally_requests_invalid_total", {{"reason", reason}}).add();
    }
    const std::string id = options_.next_request_id();
    runtime::log_event(
        runtime::event_id::request_refused,
        {{"request", id}, {"reason", reason}, {"host", ""}, {"path", ""}});
    caller_response out = make_response(
        {.status = request_error_status(error),
         .claim = core::run_claim::not_run,
         .reason = reason,
         .retry_after = retry_after_of(error)},
        id, options_.fractional_retry_after);
    if (error == request_error::method_not_allowed)
    {
        out.fields.emplace_back("Allow", "GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH");
    }
    return out;
}

} // namespace catkintally::entry
