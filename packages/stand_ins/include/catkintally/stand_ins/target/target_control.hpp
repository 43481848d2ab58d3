#pragma once

#include <catkintally/runtime/time/event_loop.hpp>
#include <catkintally/stand_ins/target/target_server.hpp>

#include <memory>
#include <string>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace catkintally::stand_ins
{

/// Applies one control object to a target; nothing is applied and a message is returned if a
/// member is unknown or has the wrong type.
[[nodiscard]] std::string apply_control(target_model& target, const boost::json::object& control);

/// Admin port of the target stand-in: GET /log, GET /status, POST /reset and POST /control. A
/// control object names its target ("all" for every target) and any of: slow_factor with slow_ms,
/// drain, watch_starts, shed, reset_when_full, fail, cold, crash, report.
class target_control
{
public:
    /// The arguments must outlive this object. Throws std::runtime_error if the port is taken.
    target_control(
        runtime::event_loop& loop,
        const std::string& address,
        std::uint16_t port,
        target_log& log,
        std::vector<std::unique_ptr<target_server>>& servers);
    ~target_control();
    target_control(const target_control&) = delete;
    target_control& operator=(const target_control&) = delete;

private:
    void handle(evhttp_request* request);
    std::string control(const std::string& body);

    target_log& log_;
    std::vector<std::unique_ptr<target_server>>& servers_;
    evhttp* http_ = nullptr;
};

} // namespace catkintally::stand_ins
