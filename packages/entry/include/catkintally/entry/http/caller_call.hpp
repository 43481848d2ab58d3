#pragma once

#include <catkintally/entry/http/caller_request.hpp>

#include <cstdint>
#include <functional>

namespace catkintally::entry
{

/// A response to a caller. The connection adds the framing.
struct caller_reply
{
    std::uint16_t status = 200;
    header_list fields;
    shared_body body;
    /// Ends the connection after the response.
    bool close = false;
};

/// One request of a caller until its reply. Tells when the caller closes its connection first; a
/// half-closed connection counts as closed, because the two cannot be told apart without sending.
class caller_call
{
public:
    /// `send` takes the reply, exactly once.
    caller_call(caller_request request, std::function<void(const caller_reply&)> send);
    caller_call(const caller_call&) = delete;
    caller_call& operator=(const caller_call&) = delete;

    /// The request.
    [[nodiscard]] const caller_request& request() const { return request_; }

    /// Subscribes to the caller's going away; called at most once, before the reply.
    void on_gone(std::function<void()> hook) { gone_ = std::move(hook); }

    /// Sends the response; exactly once for each call, also when the caller is gone.
    void reply(const caller_reply& response);

    /// The caller has closed its connection.
    void leave();

private:
    caller_request request_;
    std::function<void(const caller_reply&)> send_;
    std::function<void()> gone_;
};

} // namespace catkintally::entry
