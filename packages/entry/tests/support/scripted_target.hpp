#pragma once

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
    /// Text sent for each whole request; several segments are separated by '|', which the loop
    /// sends one after the other.
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    /// Closes the connection after the answer.
    bool close_after = false;
    /// Closes the connection as soon as it is accepted.
    bool close_on_accept = false;
    /// Closes the connection once this many bytes of the request have arrived; 0: never.
    std::size_t close_after_bytes = 0;
    /// Sent again and again after each other text, until the caller closes the connection.
    std::string endless{};
    /// Waits for release() before it answers.
    bool hold = false;
};

/// Target on a raw socket, so that it can break every rule of HTTP and count exactly what reached
/// it.
class scripted_target
{
public:
    scripted_target(runtime::event_loop& loop, target_script script);
    ~scripted_target();
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    /// IP:port.
    [[nodiscard]] std::string address() const;

    /// Answers every held request and holds no further ones.
    void release();

    /// Sends text on every open connection without having been asked.
    void send_all(const std::string& text);

    /// Closes every open connection.
    void close_all();

    target_script script;
    std::size_t accepted = 0;
    std::size_t closed_by_peer = 0;
    /// Request heads that began to arrive, whole or not.
    std::size_t begun = 0;
    /// Whole requests.
    std::size_t requests = 0;
    /// Bytes of `endless` that were sent.
    std::size_t endless_bytes = 0;
    /// Text of the last whole request.
    std::string last_request;

private:
    struct peer
    {
        std::string received;
        std::string unsent;
        bool held = false;
    };

    void on_accept(int socket);
    void on_data(bufferevent* stream);
    void answer(bufferevent* stream);
    void close(bufferevent* stream);

    runtime::event_loop& loop_;
    evconnlistener* listener_ = nullptr;
    std::map<bufferevent*, peer> peers_;
};

} // namespace catkintally::entry
