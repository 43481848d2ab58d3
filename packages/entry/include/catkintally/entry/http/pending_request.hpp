#pragma once

#include <catkintally/entry/http/caller_request.hpp>

#include <cstdint>
#include <functional>

namespace catkintally::entry
{

/// Response to a caller, without the framing fields, which the connection adds.
struct caller_response
{
    std::uint16_t status = 200;
    header_list fields;
    shared_body body;
    /// Closes the connection after the response.
    bool close = false;
};

/// A caller's request that has not been replied to. Reports if the caller closes its connection
/// before the reply; a half-closed connection counts as closed, because the two cannot be
/// distinguished without sending.
class pending_request
{
public:
    /// `send` is called exactly once, with the reply.
    pending_request(caller_request request, std::function<void(const caller_response&)> send);
    pending_request(const pending_request&) = delete;
    pending_request& operator=(const pending_request&) = delete;

    [[nodiscard]] const caller_request& request() const { return request_; }

    /// Sets the callback for a disconnect of the caller; called at most once, before the reply.
    void on_disconnect(std::function<void()> hook) { disconnect_hook_ = std::move(hook); }

    /// Sends the response. Must be called exactly once, also if the caller has disconnected.
    void reply(const caller_response& response);

    /// Reports that the caller has closed its connection.
    void notify_disconnect();

private:
    caller_request request_;
    std::function<void(const caller_response&)> send_;
    std::function<void()> disconnect_hook_;
};

} // namespace catkintally::entry
