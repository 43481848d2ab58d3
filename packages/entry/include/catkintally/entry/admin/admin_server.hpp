#pragma once

#include <catkintally/runtime/metrics/metrics_registry.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace catkintally::entry
{

/// The operators' address: GET /dump (JSON, one member for each part), /metrics (Prometheus text)
/// and /healthz.
class admin_server
{
public:
    /// `healthy` decides between 200 and 503 for /healthz and `health_path`.
    admin_server(
        runtime::event_loop& loop,
        const runtime::metrics_registry& metrics,
        std::string health_path,
        std::function<bool()> healthy);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// Starts to listen on "IP:port"; false if it cannot be bound. Several addresses are possible.
    [[nodiscard]] bool listen(const std::string& address);

    /// The port that was bound first.
    [[nodiscard]] std::uint16_t port() const;

    /// Adds or replaces one member of the dump.
    void add_section(const std::string& name, std::function<boost::json::value()> dump);

    /// Answers GET `path`?`parameter`=TEXT with the JSON that `find` returns for TEXT.
    void add_query(
        const std::string& path,
        const std::string& parameter,
        std::function<boost::json::value(const std::string&)> find);

private:
    void on_request(evhttp_request* request);

    runtime::event_loop& loop_;
    const runtime::metrics_registry& metrics_;
    std::string health_path_;
    std::function<bool()> healthy_;
    std::map<std::string, std::function<boost::json::value()>> sections_;
    struct query
    {
        std::string parameter;
        std::function<boost::json::value(const std::string&)> find;
    };
    std::map<std::string, query, std::less<>> queries_;
    evhttp* server_ = nullptr;
    evhttp_bound_socket* bound_ = nullptr;
};

} // namespace catkintally::entry
