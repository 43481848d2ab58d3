#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/response_check.hpp>
#include <catkintally/entry/http/response_reader.hpp>
#include <catkintally/entry/http/shared_body.hpp>

#include <event2/buffer.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace catkintally::entry
{

namespace
{

/// Largest number of interim (1xx) heads before the final head of a response, against a target that
/// sends them without end.
constexpr std::size_t max_interim_heads = 16;

const char* error_text(body_error error)
{
    switch (error)
    {
    case body_error::too_large:
        return "response body exceeds the size limit";
    case body_error::no_memory:
        return "body memory budget has no room for the response body";
    case body_error::malformed:
        break;
    }
    return "malformed response body";
}

struct reserved_response
{
    core::stored_answer response;
    body_reservation reservation;
};

} // namespace

read_state response_reader::refuse(std::string reason)
{
    error_ = std::move(reason);
    return read_state::error;
}

read_state response_reader::read(evbuffer* input)
{
    begun_ = begun_ || evbuffer_get_length(input) > 0;
    while (!body_)
    {
        const read_state head = read_head(input);
        if (head != read_state::done)
        {
            return head;
        }
    }
    return read_body(input);
}

read_state response_reader::read_head(evbuffer* input)
{
    const std::string_view text = contiguous_text(input);
    const auto end = head_end_.find(text);
    if (end > options_.header_bytes && text.size() > options_.header_bytes)
    {
        return refuse("response head exceeds the size limit");
    }
    if (end == std::string_view::npos)
    {
        return read_state::more;
    }
    const std::string_view head_text = text.substr(0, end);
    const response_head_result result = check_response_head(head_text, options_.head_request);
    if (result == response_head_result::interim)
    {
        auto interim = parse_http_head(head_text);
        assert(interim);
        std::move(
            interim->fields.begin(), interim->fields.end(), std::back_inserter(interim_fields_));
        evbuffer_drain(input, end);
        return ++interim_heads_ > max_interim_heads ? refuse("too many interim responses")
                                                    : read_state::done;
    }
    const bool is_accepted =
        result == response_head_result::final_head ||
        result == response_head_result::final_chunked ||
        (result == response_head_result::close_delimited && options_.close_delimited);
    if (!is_accepted)
    {
        return refuse("response head refused: " + std::string(response_head_result_name(result)));
    }

    auto head = parse_http_head(head_text);
    assert(head);
    const std::string_view line = head->start_line;
    response_ = std::make_shared<core::stored_answer>();
    response_->status = static_cast<std::uint16_t>(parse_number(line.substr(9, 3)).value());
    response_->headers = std::move(head->fields);
    keeps_connection_ = allows_keep_alive(response_->headers, line.starts_with("HTTP/1.1"));
    const bool has_no_body =
        options_.head_request || response_->status == 204 || response_->status == 304;
    body_.emplace(
        has_no_body ? body_framing{} : parse_body_framing(response_->headers),
        body_reader_options{
            .max_bytes = options_.body_bytes,
            .allow_trailers = true,
            .read_until_close = result == response_head_result::close_delimited,
            .budget = options_.budget});
    evbuffer_drain(input, end);
    return read_state::done;
}

read_state response_reader::read_body(evbuffer* input)
{
    const read_state state = body_->read(input);
    return state == read_state::error ? refuse(error_text(body_->error())) : state;
}

read_state response_reader::end_of_input()
{
    if (!body_)
    {
        return refuse(
            begun_ ? "connection closed before the end of the response head" : "connection closed");
    }
    keeps_connection_ = false;
    return body_->end_of_input() == read_state::done
               ? read_state::done
               : refuse("connection closed before the end of the response body");
}

std::shared_ptr<core::stored_answer> response_reader::take()
{
    assert(body_);
    response_->body = body_->take();
    const auto reserved = std::make_shared<reserved_response>(reserved_response{
        std::move(*std::exchange(response_, nullptr)), body_->take_reservation()});
    return {reserved, &reserved->response};
}

} // namespace catkintally::entry
