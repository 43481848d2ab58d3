#pragma once

#include <memory>
#include <string>
#include <string_view>

struct evbuffer;

namespace catkintally::entry
{

/// Body of a message, shared between the buffers that send it and the store of responses.
using shared_body = std::shared_ptr<const std::string>;

/// Appends the body without copying it; the buffer becomes a co-owner.
void append_shared(evbuffer* buffer, const shared_body& body);

/// Makes the content of a buffer contiguous and returns a view of it, valid until the buffer
/// changes.
[[nodiscard]] std::string_view contiguous_text(evbuffer* buffer);

/// Removes and returns the whole content of a buffer.
[[nodiscard]] std::string drain_text(evbuffer* buffer);

} // namespace catkintally::entry
