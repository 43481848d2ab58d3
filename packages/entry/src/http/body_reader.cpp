#include <catkintally/entry/http/body_reader.hpp>
#include <catkintally/entry/http/shared_body.hpp>

#include <event2/buffer.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace catkintally::entry
{

body_reader::body_reader(const body_framing& framing, const body_rules& rules)
    : rules_(rules)
    , reservation_(rules.budget)
{
    if (framing.chunked)
    {
        chunks_.emplace(rules.max_bytes, rules.trailers);
    }
    else if (framing.length || !rules.until_close)
    {
        left_ = framing.length.value_or(0);
    }
}

read_state body_reader::read(evbuffer* input)
{
    return chunks_ ? read_chunks(input) : read_plain(input);
}

read_state body_reader::refuse(body_fault fault)
{
    fault_ = fault;
    return read_state::fault;
}

read_state body_reader::read_chunks(evbuffer* input)
{
    const chunk_state state = chunks_->scan(contiguous_text(input));
    evbuffer_drain(input, chunks_->used());
    if (!reservation_.grow_to(chunks_->data_size()))
    {
        return refuse(body_fault::no_memory);
    }
    switch (state)
    {
    case chunk_state::more:
        return read_state::more;
    case chunk_state::done:
        data_ = chunks_->take_data();
        return read_state::done;
    case chunk_state::too_large:
        return refuse(body_fault::too_large);
    case chunk_state::malformed:
        break;
    }
    return refuse(body_fault::malformed);
}

read_state body_reader::read_plain(evbuffer* input)
{
    const std::uint64_t left = left_.value_or(std::numeric_limits<std::uint64_t>::max());
    const std::uint64_t expected = data_.size() + left_.value_or(evbuffer_get_length(input));
    if (expected > rules_.max_bytes)
    {
        return refuse(body_fault::too_large);
    }
    // A declared length is reserved as a whole, so that a body that was begun can be finished.
    if (!reservation_.grow_to(expected))
    {
        return refuse(body_fault::no_memory);
    }
    const std::size_t had = data_.size();
    const auto step =
        static_cast<std::size_t>(std::min<std::uint64_t>(left, evbuffer_get_length(input)));
    data_.resize(had + step);
    evbuffer_remove(input, data_.data() + had, step);
    if (left_)
    {
        *left_ -= step;
    }
    return left_ == 0U ? read_state::done : read_state::more;
}

read_state body_reader::end_of_input() const
{
    return !chunks_ && !left_ ? read_state::done : read_state::fault;
}

std::string body_reader::take()
{
    return std::move(data_);
}

} // namespace catkintally::entry
