#include <catkintally/entry/http/head_gate.hpp>
#include <catkintally/entry/http/http_head.hpp>

#include <event2/buffer.h>

#include <utility>

namespace catkintally::entry
{

head_gate::head_gate(evbuffer* input, head_gate_options options)
    : input_(input)
    , options_(std::move(options))
    , entry_(evbuffer_add_cb(input, &head_gate::on_change, this))
{
}

head_gate::~head_gate()
{
    evbuffer_remove_cb_entry(input_, entry_);
}

void head_gate::await_head()
{
    state_ = state::awaiting;
    chunks_.reset();
    dropped_ = 0;
    busy_ = true;
    judge();
    busy_ = false;
}

void head_gate::take_back()
{
    busy_ = true;
    take_input();
    busy_ = false;
}

void head_gate::discard()
{
    state_ = state::discarding;
    held_.clear();
}

void head_gate::on_change(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    auto* self = static_cast<head_gate*>(context);
    // The gate's own changes come back here.
    if (self->busy_ || info->n_added == 0)
    {
        return;
    }
    self->busy_ = true;
    if (self->state_ == state::open)
    {
        self->follow(info->n_added);
    }
    else
    {
        self->take_input();
        self->judge();
    }
    self->busy_ = false;
}

void head_gate::take_input()
{
    const std::size_t length = evbuffer_get_length(input_);
    const std::size_t before = held_.size();
    held_.resize(before + length);
    evbuffer_remove(input_, held_.data() + before, length);
}

void head_gate::judge()
{
    while (state_ == state::awaiting)
    {
        while (options_.skip_blank_lines && held_.starts_with("\r\n"))
        {
            held_.erase(0, 2);
        }
        const std::size_t end = find_head_end(held_);
        const bool complete = end != std::string::npos;
        if ((complete ? end : held_.size()) > options_.max_bytes || dropped_ > options_.max_dropped)
        {
            discard();
            options_.too_large();
            return;
        }
        if (!complete)
        {
            return;
        }
        const head_verdict verdict = options_.check(std::string_view(held_).substr(0, end));
        switch (verdict)
        {
        case head_verdict::pass:
        case head_verdict::pass_chunked:
        {
            const std::size_t body_bytes = held_.size() - end;
            state_ = state::open;
            release();
            if (verdict == head_verdict::pass_chunked)
            {
                chunks_.emplace(options_.max_chunked_bytes, options_.trailers);
                follow(body_bytes);
            }
            return;
        }
        case head_verdict::drop:
            held_.erase(0, end);
            ++dropped_;
            break;
        case head_verdict::reject:
            discard();
            break;
        }
    }
    if (state_ == state::discarding)
    {
        held_.clear();
    }
}

void head_gate::follow(std::size_t added)
{
    if (!chunks_ || added == 0)
    {
        return;
    }
    // The new bytes stand at the end, after bytes that the reader has not taken yet.
    std::string bytes(added, '\0');
    evbuffer_ptr from;
    evbuffer_ptr_set(input_, &from, evbuffer_get_length(input_) - added, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(input_, &from, bytes.data(), added);
    const chunk_state found = chunks_->scan(bytes);
    if (found == chunk_state::done)
    {
        chunks_.reset();
    }
    else if (found != chunk_state::more)
    {
        chunks_.reset();
        discard();
        evbuffer_drain(input_, evbuffer_get_length(input_));
        options_.bad_body(found);
    }
}

void head_gate::release()
{
    // libevent freezes the end of a socket's input buffer outside its own read.
    evbuffer_unfreeze(input_, 0);
    evbuffer_add(input_, held_.data(), held_.size());
    evbuffer_freeze(input_, 0);
    held_.clear();
}

} // namespace catkintally::entry
