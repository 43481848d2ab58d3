#include <catkintally/entry/admin/admin_server.hpp>
#include <catkintally/entry/http/http_frontend.hpp>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <string_view>
#include <utility>

namespace catkintally::entry
{

namespace
{

/// Requests to this address have no body and few fields.
constexpr ev_ssize_t max_head_bytes = 16'384;
constexpr ev_ssize_t max_body_bytes = 1'024;

void answer(evhttp_request* request, int status, const char* type, const std::string& text)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, body);
    evbuffer_free(body);
}

/// Decoded value of one query parameter, empty if it is missing.
std::string parameter_of(std::string_view uri, const std::string& name)
{
    evkeyvalq parameters{};
    if (evhttp_parse_query(std::string(uri).c_str(), &parameters) != 0)
    {
        return {};
    }
    const char* found = evhttp_find_header(&parameters, name.c_str());
    std::string value = found != nullptr ? found : "";
    evhttp_clear_headers(&parameters);
    return value;
}

} // namespace

admin_server::admin_server(
    runtime::event_loop& loop,
    const runtime::metrics_registry& metrics,
    std::string health_path,
    std::function<bool()> healthy)
    : loop_(loop)
    , metrics_(metrics)
    , health_path_(std::move(health_path))
    , healthy_(std::move(healthy))
{
}

admin_server::~admin_server()
{
    if (server_ != nullptr)
    {
        evhttp_free(server_);
    }
}

bool admin_server::listen(const std::string& address)
{
    const int socket = bind_listener(address);
    if (socket < 0)
    {
        return false;
    }
    if (server_ != nullptr)
    {
        return evhttp_accept_socket(server_, socket) == 0;
    }
    server_ = evhttp_new(loop_.base());
    evhttp_set_max_headers_size(server_, max_head_bytes);
    evhttp_set_max_body_size(server_, max_body_bytes);
    evhttp_set_allowed_methods(server_, EVHTTP_REQ_GET);
    evhttp_set_gencb(
        server_,
        [](evhttp_request* request, void* context)
        { static_cast<admin_server*>(context)->on_request(request); },
        this);
    bound_ = evhttp_accept_socket_with_handle(server_, socket);
    return bound_ != nullptr;
}

std::uint16_t admin_server::port() const
{
    return bound_port(evhttp_bound_socket_get_fd(bound_));
}

void admin_server::add_section(const std::string& name, std::function<boost::json::value()> dump)
{
    sections_[name] = std::move(dump);
}

void admin_server::add_query(
    const std::string& path,
    const std::string& parameter,
    std::function<boost::json::value(const std::string&)> find)
{
    queries_[path] = {parameter, std::move(find)};
}

void admin_server::on_request(evhttp_request* request)
{
    const std::string_view uri = evhttp_request_get_uri(request);
    const auto path = uri.substr(0, uri.find('?'));
    if (path == "/healthz" || path == health_path_)
    {
        const bool healthy = healthy_();
        answer(request, healthy ? 200 : 503, "text/plain", healthy ? "ok\n" : "unavailable\n");
    }
    else if (path == "/metrics")
    {
        answer(request, 200, "text/plain; version=0.0.4", metrics_.exposition());
    }
    else if (path == "/dump")
    {
        boost::json::object dump;
        for (const auto& [name, section] : sections_)
        {
            dump[name] = section();
        }
        answer(request, 200, "application/json", boost::json::serialize(dump) + "\n");
    }
    else if (const auto found = queries_.find(path); found != queries_.end())
    {
        const std::string text = parameter_of(uri, found->second.parameter);
        answer(
            request, 200, "application/json",
            boost::json::serialize(found->second.find(text)) + "\n");
    }
    else
    {
        answer(request, 404, "text/plain", "not found\n");
    }
}

} // namespace catkintally::entry
