#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/response_check.hpp>
#include <catkintally/entry/http/response_reader.hpp>
#include <catkintally/entry/http/shared_body.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <event2/buffer.h>

#include <cassert>
#include <utility>

namespace catkintally::entry
{

namespace http = boost::beast::http;

struct response_reader::body_parser
{
    http::response_parser<http::string_body> parser;
};

namespace
{

/// Interim heads of one response. A target that sends more does not come to an end.
constexpr std::size_t max_interim_heads = 16;

} // namespace

response_reader::response_reader(const response_rules& rules)
    : rules_(rules)
{
}

response_reader::~response_reader() = default;

read_state response_reader::refuse(std::string what)
{
    fault_ = std::move(what);
    return read_state::fault;
}

read_state response_reader::read(evbuffer* input)
{
    begun_ = begun_ || evbuffer_get_length(input) > 0;
    while (parser_ == nullptr)
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
    const auto end = find_head_end(text);
    if (end > rules_.header_bytes && text.size() > rules_.header_bytes)
    {
        return refuse("response head exceeds the limit");
    }
    if (end == std::string_view::npos)
    {
        return read_state::more;
    }
    const std::string_view head_text = text.substr(0, end);
    const response_verdict verdict = check_response_head(head_text, rules_.head_request);
    if (verdict == response_verdict::interim)
    {
        evbuffer_drain(input, end);
        return ++interim_heads_ > max_interim_heads ? refuse("too many interim responses")
                                                    : read_state::done;
    }
    const bool passes =
        verdict == response_verdict::final_head || verdict == response_verdict::final_chunked ||
        (verdict == response_verdict::close_delimited && rules_.close_delimited);
    if (!passes)
    {
        return refuse("response head: " + std::string(verdict_name(verdict)));
    }

    // The head has been checked, so both parsers read it alike.
    auto head = parse_http_head(head_text);
    assert(head);
    answer_ = std::make_shared<core::stored_answer>();
    answer_->status =
        static_cast<std::uint16_t>(parse_number(head->start_line.substr(9, 3)).value());
    answer_->headers = std::move(head->fields);

    parser_ = std::make_unique<body_parser>();
    auto& parser = parser_->parser;
    parser.eager(true);
    parser.skip(rules_.head_request);
    parser.header_limit(static_cast<std::uint32_t>(head_text.size()) + 1);
    parser.body_limit(rules_.body_bytes);
    boost::beast::error_code error;
    parser.put(boost::asio::const_buffer(head_text.data(), head_text.size()), error);
    evbuffer_drain(input, end);
    if (error && error != http::error::need_more)
    {
        return refuse("response head: " + error.message());
    }
    keeps_connection_ = parser.keep_alive();
    return read_state::done;
}

read_state response_reader::read_body(evbuffer* input)
{
    auto& parser = parser_->parser;
    while (!parser.is_done() && evbuffer_get_length(input) > 0)
    {
        const std::string_view text = contiguous_text(input);
        boost::beast::error_code error;
        const std::size_t used =
            parser.put(boost::asio::const_buffer(text.data(), text.size()), error);
        evbuffer_drain(input, used);
        if (error == http::error::need_more)
        {
            break;
        }
        if (error)
        {
            return refuse("response body: " + error.message());
        }
    }
    return parser.is_done() ? read_state::done : read_state::more;
}

read_state response_reader::end_of_input()
{
    if (parser_ == nullptr)
    {
        return refuse(begun_ ? "connection closed within the head" : "connection closed");
    }
    boost::beast::error_code error;
    parser_->parser.put_eof(error);
    keeps_connection_ = false;
    return error ? refuse("connection closed within the body") : read_state::done;
}

std::shared_ptr<core::stored_answer> response_reader::take()
{
    assert(parser_ != nullptr);
    answer_->body = std::move(parser_->parser.get().body());
    return std::move(answer_);
}

} // namespace catkintally::entry
