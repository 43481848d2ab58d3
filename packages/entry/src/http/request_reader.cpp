#include <catkintally/entry/http/request_reader.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <event2/buffer.h>

#include <cassert>
#include <iterator>
#include <utility>

namespace catkintally::entry
{

namespace http = boost::beast::http;

struct request_reader::body_parser
{
    http::request_parser<http::string_body> parser;
};

namespace
{

/// Empty lines before a request are ignored.
void skip_blank_lines(evbuffer* input)
{
    std::string_view text = contiguous_text(input);
    std::size_t blank = 0;
    while (text.substr(blank).starts_with("\r\n"))
    {
        blank += 2;
    }
    evbuffer_drain(input, blank);
}

std::size_t field_count(const http::request_parser<http::string_body>& parser)
{
    const auto& fields = parser.get().base();
    return static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

/// Path and query; an absolute URI loses its scheme and authority.
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

request_reader::request_reader() = default;
request_reader::~request_reader() = default;

read_state request_reader::refuse(request_fault fault)
{
    fault_ = fault;
    parser_.reset();
    return read_state::fault;
}

read_state request_reader::read(evbuffer* input, const core::caller_limits& limits)
{
    if (parser_ == nullptr)
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
    const auto end = find_head_end(text);
    if (end > limits.header_bytes && text.size() > limits.header_bytes)
    {
        return refuse(request_fault::head_too_large);
    }
    if (end == std::string_view::npos)
    {
        return read_state::more;
    }
    const std::string_view head_text = text.substr(0, end);
    const request_verdict verdict = check_request_head(head_text, limits.body_bytes);
    if (verdict.fault)
    {
        return refuse(*verdict.fault);
    }

    // The head has been checked, so both parsers read it alike.
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
    expects_continue_ = find_field(request_.fields, "Expect") != nullptr;

    parser_ = std::make_unique<body_parser>();
    auto& parser = parser_->parser;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(head_text.size()) + 1);
    parser.body_limit(limits.body_bytes);
    boost::beast::error_code error;
    parser.put(boost::asio::const_buffer(head_text.data(), head_text.size()), error);
    evbuffer_drain(input, end);
    if (error && error != http::error::need_more)
    {
        return refuse(request_fault::malformed);
    }
    keeps_connection_ = parser.keep_alive();
    fields_in_head_ = field_count(parser);
    return read_state::done;
}

read_state request_reader::read_body(evbuffer* input)
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
            return refuse(
                error == http::error::body_limit ? request_fault::body_too_large
                                                 : request_fault::malformed);
        }
    }
    if (!parser.is_done())
    {
        return read_state::more;
    }
    if (field_count(parser) != fields_in_head_)
    {
        // A trailer would be merged into the fields that were checked and routed by.
        return refuse(request_fault::malformed);
    }
    return read_state::done;
}

bool request_reader::take_expectation()
{
    return in_body() && !parser_->parser.is_done() && std::exchange(expects_continue_, false);
}

caller_request request_reader::take()
{
    assert(parser_ != nullptr && parser_->parser.is_done());
    request_.body = std::make_shared<const std::string>(std::move(parser_->parser.get().body()));
    parser_.reset();
    return std::move(request_);
}

} // namespace catkintally::entry
