#include <catkintally/entry/http/shared_body.hpp>

#include <event2/buffer.h>

namespace catkintally::entry
{

void append_shared(evbuffer* buffer, const shared_body& body)
{
    if (body && !body->empty())
    {
        evbuffer_add_reference(
            buffer, body->data(), body->size(),
            [](const void*, std::size_t, void* owner) { delete static_cast<shared_body*>(owner); },
            new shared_body(body));
    }
}

std::string_view contiguous_text(evbuffer* buffer)
{
    const std::size_t length = evbuffer_get_length(buffer);
    const auto* data = evbuffer_pullup(buffer, -1);
    return {reinterpret_cast<const char*>(data), length};
}

std::string drain_text(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

} // namespace catkintally::entry
