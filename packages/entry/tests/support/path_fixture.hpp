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
    /// Closes the connection.
    void close();
    /// Takes one whole response with Content-Length (or none) off the received text.
    [[nodiscard]] std::optional<std::string> take_response(bool bodiless = false);

    std::string received;
    bool ended = false;

private:
    bufferevent* stream_;
};

/// One whole instance on loopback with a gateway that answers from a list. The services are "desk"
/// (host desk.example, key header "idempotency-key", 503 means not run) and "open" (any host).
class path_fixture
{
public:
    explicit path_fixture(
        const std::function<void(runtime::settings&)>& adjust = [](runtime::settings&) {},
        core::target_dialect dialect = {});

    /// Runs the loop until the condition holds; fails the test if it never does.
    void run_until(const std::function<bool()>& condition);
    /// Runs the loop until nothing is ready.
    void settle();
    /// Sends one request over a new connection and returns the whole response.
    std::string ask(const std::string& request);
    /// A valid request for the service "desk".
    static std::string request(const std::string& method, const std::string& extra = "");
    /// Grants in turn the targets with these addresses; the last one stays.
    void grant(const std::vector<std::string>& addresses);

    runtime::event_loop loop;
    runtime::libevent_timer_service timers{loop};
    runtime::settings values;
    /// Answers to the next applications; the last one stays. Empty: applications wait.
    std::deque<core::admission_answer> answers;
    std::vector<core::admission_request> asked;
    std::vector<core::request_id> cancelled;
    /// What to call if the target of a request has lost it.
    std::map<core::request_id, std::function<void()>> watched;
    std::vector<std::pair<core::completion_report, std::shared_ptr<const core::stored_answer>>>
        completed;
    /// False makes every grant lapse. As in the fleet, a grant is good for one check.
    bool may_send = true;
    std::set<core::request_id> unchecked;
    bool joined = true;
    std::unique_ptr<instance> self;

private:
    instance_hooks hooks();
};

/// Value of a field of a response text; "" if missing.
[[nodiscard]] std::string field_of(const std::string& response, const std::string& name);

/// Status of a response text.
[[nodiscard]] int status_of(const std::string& response);

/// Body of a response text.
[[nodiscard]] std::string body_of(const std::string& response);

} // namespace catkintally::entry
