#include <catkintally/entry/http/pending_request.hpp>

#include <cassert>
#include <utility>

namespace catkintally::entry
{

pending_request::pending_request(
    caller_request request, std::function<void(const caller_response&)> send)
    : request_(std::move(request))
    , send_(std::move(send))
{
}

void pending_request::reply(const caller_response& response)
{
    assert(send_);
    disconnect_hook_ = nullptr;
    std::exchange(send_, nullptr)(response);
}

void pending_request::notify_disconnect()
{
    if (auto hook = std::exchange(disconnect_hook_, nullptr))
    {
        hook();
    }
}

} // namespace catkintally::entry
