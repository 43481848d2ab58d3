#include <catkintally/entry/http/body_reader.hpp>
#include <catkintally/entry/http/shared_body.hpp>

#include <event2/buffer.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace catkintally::entry
{

body_reader::body_reader(const body_framing& framing, const body_reader_options& options)
    : options_(options)
    , reservation_(options.budget)
{
    if (framing.chunked)
    {
        chunk_decoder_.emplace(options.max_bytes, options.allow_trailers);
    }
    else if (framing.length || !options.read_until_close)
    {
        remaining_ = framing.length.value_or(0);
    }
}

read_state body_reader::read(evbuffer* input)
{
    return chunk_decoder_ ? read_chunks(input) : read_unchunked(input);
}

read_state body_reader::refuse(body_error error)
{
    error_ = error;
    return read_state::error;
}

read_state body_reader::read_chunks(evbuffer* input)
{
    const chunked_decoder_state state = chunk_decoder_->decode(contiguous_text(input));
    evbuffer_drain(input, chunk_decoder_->consumed());
    if (!reservation_.grow_to(chunk_decoder_->data_size()))
    {
        return refuse(body_error::no_memory);
    }
    switch (state)
    {
    case chunked_decoder_state::more:
        return read_state::more;
    case chunked_decoder_state::done:
        data_ = chunk_decoder_->take_data();
        return read_state::done;
    case chunked_decoder_state::too_large:
        return refuse(body_error::too_large);
    case chunked_decoder_state::malformed:
        break;
    }
    return refuse(body_error::malformed);
}

read_state body_reader::read_unchunked(evbuffer* input)
{
    const std::uint64_t remaining = remaining_.value_or(std::numeric_limits<std::uint64_t>::max());
    const std::uint64_t expected = data_.size() + remaining_.value_or(evbuffer_get_length(input));
    if (expected > options_.max_bytes)
    {
        return refuse(body_error::too_large);
    }
    // Reserves a declared length up front, so that the memory for the body can't run out half-way.
    if (!reservation_.grow_to(expected))
    {
        return refuse(body_error::no_memory);
    }
    const std::size_t old_size = data_.size();
    const auto count =
        static_cast<std::size_t>(std::min<std::uint64_t>(remaining, evbuffer_get_length(input)));
    data_.resize(old_size + count);
    evbuffer_remove(input, data_.data() + old_size, count);
    if (remaining_)
    {
        *remaining_ -= count;
    }
    return remaining_ == 0U ? read_state::done : read_state::more;
}

read_state body_reader::end_of_input() const
{
    return !chunk_decoder_ && !remaining_ ? read_state::done : read_state::error;
}

std::string body_reader::take()
{
    return std::move(data_);
}

} // namespace catkintally::entry
