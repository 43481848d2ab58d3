#pragma once

#include "support/scripted_target.hpp"

#include <catkintally/entry/instance.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct bufferevent;

namespace catkintally::entry
{

/// A caller on a raw socket.
class raw_caller
{
public:
    raw_caller(runtime::event_loop& loop, std::uint16_t port);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(const std::string& text);
    void close();
    /// Closes with a reset.
    void reset();
    /// Removes one complete response, framed by Content-Length or without a body, from `received`.
    [[nodiscard]] std::optional<std::string> take_response(bool bodiless = false);

    std::string received;
    bool ended = false;

private:
    bufferevent* stream_;
};

/// A complete instance on loopback with an admission gateway that answers from a list. The services
/// are "desk" (host desk.example, key header "idempotency-key", 503 means not executed) and "open"
/// (any host, path prefix /open).
class instance_fixture
{
public:
    explicit instance_fixture(
        const std::function<void(runtime::settings&)>& adjust = [](runtime::settings&) {},
        core::target_dialect dialect = {});

    /// Runs the loop until the condition holds; fails the test after 20 s.
    void run_until(const std::function<bool()>& condition);
    /// Runs 20 passes of the loop without waiting, so that everything that is ready is handled.
    void run_until_idle();
    /// Sends one request over a new connection and returns the complete response.
    std::string ask(const std::string& request);
    /// Returns a valid request for the service "desk".
    static std::string request(const std::string& method, const std::string& extra = "");
    /// Grants the targets with these addresses in turn, and then always the last one.
    void grant(const std::vector<std::string>& addresses);

    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    runtime::settings values;
    /// Answers to the next admission requests; the last one is repeated. Empty: requests wait.
    std::deque<core::admission_answer> answers;
    std::vector<core::admission_request> asked;
    std::vector<core::request_id> cancelled;
    /// Callbacks that requests have registered with watch(); calling one reports that the target
    /// has lost the request.
    std::map<core::request_id, std::function<void(core::loss_cause)>> loss_callbacks;
    std::vector<std::pair<core::completion_report, std::shared_ptr<const core::stored_answer>>>
        completed;
    /// False makes every grant lapse. As in the fleet, may_send succeeds only once for a grant.
    bool may_send = true;
    /// Requests for which may_send has not been called yet.
    std::set<core::request_id> unchecked_requests;
    bool joined = true;
    std::unique_ptr<instance> self;

private:
    instance_hooks hooks();
};

/// Value of a header field of a response; "" if missing.
[[nodiscard]] std::string field_of(const std::string& response, const std::string& name);

/// Status code of a response; 0 if it is too short.
[[nodiscard]] int status_of(const std::string& response);

/// Body of a response.
[[nodiscard]] std::string body_of(const std::string& response);

} // namespace catkintally::entry
