#pragma once

#include <catkintally/core/table/caller_limits.hpp>
#include <catkintally/entry/http/body_reader.hpp>
#include <catkintally/entry/http/caller_request.hpp>
#include <catkintally/entry/http/read_state.hpp>
#include <catkintally/entry/http/request_check.hpp>

#include <memory>
#include <optional>
#include <utility>

struct evbuffer;

namespace catkintally::entry
{

/// Reads the requests of one connection, one after the other. A request that two parsers might read
/// differently is refused, so that none is smuggled to a target inside another.
class request_reader
{
public:
    /// `budget` is the memory for bodies; may be empty.
    explicit request_reader(std::shared_ptr<body_budget> budget = nullptr)
        : budget_(std::move(budget))
    {
    }

    /// Takes bytes from `input` until a request is whole, more bytes are needed or the request is
    /// refused. Call take() before the next read() after `done`.
    read_state read(evbuffer* input, const core::caller_limits& limits);

    /// Why the request is refused; after `fault`.
    [[nodiscard]] request_fault fault() const { return fault_; }

    /// True from the end of a request's head to the end of its body.
    [[nodiscard]] bool in_body() const { return body_.has_value(); }

    /// True if the caller waits for an interim response before it sends the body; once a request.
    [[nodiscard]] bool take_expectation();

    /// The whole request; `address` is left empty.
    [[nodiscard]] caller_request take();

    /// True if the request that was taken last allows further ones on its connection.
    [[nodiscard]] bool keeps_connection() const { return keeps_connection_; }

private:
    read_state refuse(request_fault fault);
    read_state read_head(evbuffer* input, const core::caller_limits& limits);
    read_state read_body(evbuffer* input);

    std::shared_ptr<body_budget> budget_;
    std::optional<body_reader> body_;
    /// The body is whole and the request can be taken.
    bool whole_ = false;
    caller_request request_;
    request_fault fault_ = request_fault::malformed;
    bool expects_continue_ = false;
    bool keeps_connection_ = true;
};

} // namespace catkintally::entry
