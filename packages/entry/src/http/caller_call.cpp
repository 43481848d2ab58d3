#include <catkintally/entry/http/caller_call.hpp>

#include <cassert>
#include <utility>

namespace catkintally::entry
{

caller_call::caller_call(caller_request request, std::function<void(const caller_reply&)> send)
    : request_(std::move(request))
    , send_(std::move(send))
{
}

void caller_call::reply(const caller_reply& response)
{
    assert(send_);
    disconnect_hook_ = nullptr;
    std::exchange(send_, nullptr)(response);
}

void caller_call::leave()
{
    if (auto hook = std::exchange(disconnect_hook_, nullptr))
    {
        hook();
    }
}

} // namespace catkintally::entry
