#include <catkintally/stand_ins/target/target_server.hpp>

#include <boost/json.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace catkintally::stand_ins
{

/// One request between its arrival and its response.
struct target_server::exchange
{
    target_server* server = nullptr;
    std::uint64_t id = 0;
    evhttp_request* request = nullptr;
    std::string key;
    std::string path;
    std::uint64_t handle = 0;
    /// Reports that the caller closed its connection while the request runs.
    event* caller_gone = nullptr;

    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange()
    {
        if (caller_gone != nullptr)
        {
            event_free(caller_gone);
        }
    }
};

namespace
{

std::string header(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace

target_server::target_server(
    runtime::event_loop& loop,
    core::timer_service& timers,
    target_log& log,
    const target_options& options,
    std::string address,
    std::uint16_t port,
    std::string key_header)
    : loop_(loop)
    , timers_(timers)
    , address_(std::move(address))
    , port_(port)
    , key_header_(std::move(key_header))
    , model_(options, timers, log)
{
    open();
    if (http_ == nullptr)
    {
        throw std::runtime_error("cannot listen on port " + std::to_string(port_));
    }
    model_.down_changed = [this](bool down)
    {
        if (down)
        {
            // The crash may come from one of the server's own callbacks, so it closes later.
            exchanges_.clear();
            timers_.schedule_after(core::duration::zero(), [this] { close(); });
        }
        else
        {
            open();
        }
    };
}

target_server::~target_server()
{
    close();
}

void target_server::open()
{
    http_ = evhttp_new(loop_.base());
    evhttp_set_gencb(http_, &target_server::on_request, this);
    evhttp_set_allowed_methods(
        http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                   EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    if (evhttp_bind_socket(http_, address_.c_str(), port_) != 0)
    {
        evhttp_free(http_);
        http_ = nullptr;
    }
}

void target_server::close()
{
    exchanges_.clear();
    if (http_ != nullptr)
    {
        evhttp_free(http_);
        http_ = nullptr;
    }
}

void target_server::add_state(evkeyvalq* headers)
{
    evhttp_add_header(headers, "catkintally-load", model_.load_report().c_str());
    if (!model_.rate_limit().empty())
    {
        evhttp_add_header(headers, "catkintally-rate-limit", model_.rate_limit().c_str());
    }
}

void target_server::on_request(evhttp_request* request, void* context)
{
    static_cast<target_server*>(context)->handle(request);
}

void target_server::handle(evhttp_request* request)
{
    if (model_.down())
    {
        // The port closes in this round of the loop, which also frees this request.
        return;
    }
    const std::string path = evhttp_request_get_uri(request);
    if (path == "/healthz")
    {
        add_state(evhttp_request_get_output_headers(request));
        evhttp_send_reply(request, 200, "OK", nullptr);
        return;
    }

    auto added = std::make_unique<exchange>();
    exchange& current = *added;
    current.server = this;
    current.id = next_id_++;
    current.request = request;
    current.key = header(request, key_header_.c_str());
    current.path = path;
    exchanges_.emplace(current.id, std::move(added));

    const auto method = evhttp_request_get_command(request);
    target_request submitted;
    submitted.key = current.key;
    submitted.request_id = header(request, "catkintally-request-id");
    submitted.path = path;
    submitted.cancellable = method == EVHTTP_REQ_GET || method == EVHTTP_REQ_HEAD;
    const std::string deadline = header(request, "catkintally-deadline-ms");
    if (!deadline.empty())
    {
        submitted.deadline = std::chrono::milliseconds(std::strtol(deadline.c_str(), nullptr, 10));
    }
    const std::uint64_t id = current.id;
    submitted.answer = [this, id](const target_answer& given) { answer(id, given); };
    const std::uint64_t handle = model_.submit(std::move(submitted));

    // The answer may have been sent already; otherwise watch for a caller that goes away. evhttp
    // itself does not read from the connection while a request is being handled.
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end())
    {
        return;
    }
    found->second->handle = handle;
    bufferevent* buffer = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    found->second->caller_gone = event_new(
        loop_.base(), bufferevent_getfd(buffer), EV_CLOSED,
        [](evutil_socket_t, short, void* context)
        {
            auto* gone = static_cast<exchange*>(context);
            target_server* server = gone->server;
            const std::uint64_t gone_id = gone->id;
            server->model_.cancel(gone->handle);
            server->answer(gone_id, {.status = 499, .close = true});
        },
        found->second.get());
    event_add(found->second->caller_gone, nullptr);
}

void target_server::answer(std::uint64_t id, const target_answer& given)
{
    auto node = exchanges_.extract(id);
    if (node.empty())
    {
        return;
    }
    exchange& ended = *node.mapped();
    if (given.close || given.reset)
    {
        if (given.reset)
        {
            // evhttp ends connections in both directions in turn, which callers see as a close.
            // Dissolving the association resets the connection.
            const sockaddr unspecified{.sa_family = AF_UNSPEC, .sa_data = {}};
            bufferevent* stream =
                evhttp_connection_get_bufferevent(evhttp_request_get_connection(ended.request));
            // Fails only if the caller has closed the connection before.
            (void)connect(bufferevent_getfd(stream), &unspecified, sizeof unspecified);
        }
        // Frees the request as well. The caller is a timer or the watch for closed connections,
        // never a callback of evhttp.
        evhttp_connection_free(evhttp_request_get_connection(ended.request));
        return;
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(ended.request);
    add_state(headers);
    evhttp_add_header(headers, "content-type", "application/json");
    if (given.not_run)
    {
        evhttp_add_header(headers, "catkintally-shed", "not-run");
    }
    const boost::json::object body{
        {"target", model_.options().name},
        {"path", ended.path},
        {"key", ended.key},
        {"status", given.status}};
    evbuffer* buffer = evbuffer_new();
    const std::string text = boost::json::serialize(body);
    evbuffer_add(buffer, text.data(), text.size());
    evhttp_send_reply(ended.request, given.status, "", buffer);
    evbuffer_free(buffer);
}

} // namespace catkintally::stand_ins
