#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace catkintally::entry
{

/// What a scripted target does on one connection.
struct target_script
{
    /// Text sent for each complete request. '|' separates segments; each is written once the
    /// previous one has been sent.
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    /// Closes the connection after the response.
    bool close_after = false;
    /// Such a close resets the connection.
    bool reset = false;
    /// Closes the connection as soon as it is accepted.
    bool close_on_accept = false;
    /// Closes the connection once this many bytes of the request have arrived; 0: never.
    std::size_t close_after_bytes = 0;
    /// Reads nothing until resume_reading().
    bool unread = false;
    /// Sent repeatedly after any other text until the peer closes the connection.
    std::string endless{};
    /// Delays the response until release().
    bool hold = false;
    /// If set, each response is sent after `work`.
    core::timer_service* timers = nullptr;
    core::duration work{};
    /// Called with each complete request.
    std::function<void(const std::string& request)> on_request{};
};

/// Target on a raw socket, so that it can violate any rule of HTTP and count exactly what it
/// received.
class scripted_target
{
public:
    scripted_target(runtime::event_loop& loop, target_script script);
    ~scripted_target();
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    /// IP:port.
    [[nodiscard]] std::string address() const;

    /// Responds to every held request and holds no further ones.
    void release();

    /// Reads what connections have received, and everything from now on.
    void resume_reading();

    /// Sends unsolicited text on every open connection.
    void send_all(const std::string& text);

    /// Closes every open connection.
    void close_all();

    target_script script;
    std::size_t accepted = 0;
    std::size_t closed_by_peer = 0;
    /// Requests of which at least a part arrived, complete or not.
    std::size_t begun = 0;
    /// Complete requests.
    std::size_t requests = 0;
    /// Bytes of `endless` that were sent.
    std::size_t endless_bytes = 0;
    /// Text of the last complete request.
    std::string last_request;

private:
    struct connection_state
    {
        std::size_t number = 0;
        std::string received;
        std::string unsent;
        bool held = false;
    };

    void on_accept(int socket);
    void on_data(bufferevent* stream);
    void answer(bufferevent* stream);
    void close(bufferevent* stream);
    void answer_after_work(bufferevent* stream);

    runtime::event_loop& loop_;
    evconnlistener* listener_ = nullptr;
    std::map<bufferevent*, connection_state> connections_;
};

} // namespace catkintally::entry
