#pragma once

#include <memory>
#include <string>
#include <string_view>

struct evbuffer;

namespace catkintally::entry
{

/// Body of a message, shared between the buffers that send it and the store of answers.
using shared_body = std::shared_ptr<const std::string>;

/// Appends the body without copying it; the buffer shares its ownership.
void append_shared(evbuffer* buffer, const shared_body& body);

/// Everything in a buffer as one piece of text; valid until the buffer changes.
[[nodiscard]] std::string_view contiguous_text(evbuffer* buffer);

/// Takes everything out of a buffer.
[[nodiscard]] std::string drain_text(evbuffer* buffer);

} // namespace catkintally::entry
