#include <catkintally/entry/http/request_reader.hpp>

#include <catkintally/entry/http/shared_body.hpp>

#include <event2/buffer.h>

#include <cassert>
#include <utility>

namespace catkintally::entry
{

namespace
{

/// Discards empty lines before a request.
void skip_blank_lines(evbuffer* input)
{
    std::string_view text = contiguous_text(input);
    std::size_t blank_bytes = 0;
    while (text.substr(blank_bytes).starts_with("\r\n"))
    {
        blank_bytes += 2;
    }
    evbuffer_drain(input, blank_bytes);
}

request_error to_request_error(body_error error)
{
    switch (error)
    {
    case body_error::too_large:
        return request_error::body_too_large;
    case body_error::no_memory:
        return request_error::no_body_memory;
    case body_error::malformed:
        break;
    }
    return request_error::malformed;
}

/// Path and query of a URI in origin form or absolute form.
std::string origin_form(std::string_view uri)
{
    if (uri.starts_with('/'))
    {
        return std::string(uri);
    }
    const auto authority = uri.find("//");
    const auto slash = uri.find('/', authority + 2);
    return slash == std::string_view::npos ? "/" : std::string(uri.substr(slash));
}

} // namespace

read_state request_reader::refuse(request_error error)
{
    error_ = error;
    body_.reset();
    return read_state::error;
}

read_state request_reader::read(evbuffer* input, const core::caller_limits& limits)
{
    if (!body_)
    {
        const read_state head = read_head(input, limits);
        if (head != read_state::done)
        {
            return head;
        }
    }
    return read_body(input);
}

read_state request_reader::read_head(evbuffer* input, const core::caller_limits& limits)
{
    skip_blank_lines(input);
    const std::string_view text = contiguous_text(input);
    const auto end = head_end_.find(text);
    if (end > limits.header_bytes && text.size() > limits.header_bytes)
    {
        return refuse(request_error::head_too_large);
    }
    if (end == std::string_view::npos)
    {
        return read_state::more;
    }
    const std::string_view head_text = text.substr(0, end);
    const request_head_result result = check_request_head(head_text, limits.body_bytes);
    if (result.error)
    {
        return refuse(*result.error);
    }

    auto head = parse_http_head(head_text);
    assert(head);
    const std::string_view line = head->start_line;
    const auto method_end = line.find(' ');
    const auto uri_end = line.rfind(' ');
    request_ = {};
    request_.method = line.substr(0, method_end);
    request_.uri = origin_form(line.substr(method_end + 1, uri_end - method_end - 1));
    request_.path = request_.uri.substr(0, request_.uri.find('?'));
    request_.fields = std::move(head->fields);
    const std::string* host = find_field(request_.fields, "Host");
    request_.host = host == nullptr ? "" : *host;
    accepts_interim_ = line.ends_with("1.1");
    expects_continue_ = accepts_interim_ && find_field(request_.fields, "Expect") != nullptr;
    keeps_connection_ = allows_keep_alive(request_.fields, accepts_interim_);
    body_.emplace(
        parse_body_framing(request_.fields),
        body_reader_options{
            .max_bytes = limits.body_bytes, .allow_trailers = false, .budget = budget_});
    evbuffer_drain(input, end);
    return read_state::done;
}

read_state request_reader::read_body(evbuffer* input)
{
    const read_state state = body_->read(input);
    if (state == read_state::error)
    {
        return refuse(to_request_error(body_->error()));
    }
    complete_ = state == read_state::done;
    return state;
}

bool request_reader::take_expect_continue()
{
    return in_body() && !complete_ && std::exchange(expects_continue_, false);
}

caller_request request_reader::take()
{
    assert(body_ && complete_);
    complete_ = false;
    request_.body = make_shared_body(body_->take(), body_->take_reservation());
    body_.reset();
    return std::move(request_);
}

} // namespace catkintally::entry
