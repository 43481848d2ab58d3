#pragma once

#include <catkintally/core/table/caller_limits.hpp>
#include <catkintally/entry/http/body_reader.hpp>
#include <catkintally/entry/http/caller_request.hpp>
#include <catkintally/entry/http/head_end_scanner.hpp>
#include <catkintally/entry/http/read_state.hpp>
#include <catkintally/entry/http/request_check.hpp>

#include <memory>
#include <optional>
#include <utility>

struct evbuffer;

namespace catkintally::entry
{

/// Reads the requests of one connection, one after the other. Refuses requests that two parsers
/// could read differently, which prevents request smuggling to a target.
class request_reader
{
public:
    /// `budget` limits the memory for bodies; may be null.
    explicit request_reader(std::shared_ptr<body_budget> budget = nullptr)
        : budget_(std::move(budget))
    {
    }

    /// Takes bytes from `input` until a request is complete, more bytes are needed or the request
    /// is refused. After `done`, call take() before the next read().
    read_state read(evbuffer* input, const core::caller_limits& limits);

    /// Why the request is refused; valid only then.
    [[nodiscard]] request_error error() const { return error_; }

    /// True from the end of a request's head until take() or a refusal.
    [[nodiscard]] bool in_body() const { return body_.has_value(); }

    /// True if the caller waits for a 100 (Continue) response before it sends the body; at most
    /// once per request.
    [[nodiscard]] bool take_expect_continue();

    /// Moves out the complete request; `address` is left empty.
    [[nodiscard]] caller_request take();

    /// True if the request that was taken last allows further requests on its connection.
    [[nodiscard]] bool keeps_connection() const { return keeps_connection_; }

    /// True if the caller of the last request understands interim (1xx) responses, which HTTP/1.0
    /// does not have.
    [[nodiscard]] bool accepts_interim_responses() const { return accepts_interim_; }

private:
    read_state refuse(request_error error);
    read_state read_head(evbuffer* input, const core::caller_limits& limits);
    read_state read_body(evbuffer* input);

    std::shared_ptr<body_budget> budget_;
    head_end_scanner head_end_;
    std::optional<body_reader> body_;
    /// The body is complete and the request can be taken.
    bool complete_ = false;
    caller_request request_;
    request_error error_ = request_error::malformed;
    bool expects_continue_ = false;
    bool keeps_connection_ = true;
    bool accepts_interim_ = true;
};

} // namespace catkintally::entry
