#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/entry/http/body_reader.hpp>
#include <catkintally/entry/http/head_end_scanner.hpp>
#include <catkintally/entry/http/read_state.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

struct evbuffer;

namespace catkintally::entry
{

/// Limits and options for reading responses.
struct response_reader_options
{
    /// Largest accepted head and body, in bytes.
    std::size_t header_bytes = 65'536;
    std::size_t body_bytes = 67'108'864;
    /// The request was a HEAD request, so the response has no body.
    bool head_request = false;
    /// Accept a response without declared length and treat an orderly close of its connection as
    /// its end. Only for targets that reset the connection when they abort a response.
    bool close_delimited = false;
    /// Memory budget for bodies; may be null.
    std::shared_ptr<body_budget> budget{};
};

/// Reads one response of a target. Discards interim (1xx) responses and refuses a response whose
/// end can't be known.
class response_reader
{
public:
    explicit response_reader(response_reader_options options)
        : options_(std::move(options))
    {
    }

    /// Takes bytes from `input` until the response is complete, more bytes are needed or the
    /// response is refused.
    read_state read(evbuffer* input);

    /// Call after an orderly close of the connection by the target, with no input left: `done` if
    /// the response is complete, otherwise it is refused.
    read_state end_of_input();

    /// True once any byte of the response has arrived.
    [[nodiscard]] bool has_begun() const { return begun_; }

    /// Why the response is refused; valid only then.
    [[nodiscard]] const std::string& error() const { return error_; }

    /// Moves out the complete response with the target's own header fields. The memory of its body
    /// stays reserved until the last owner releases the response.
    [[nodiscard]] std::shared_ptr<core::stored_answer> take();

    /// Header fields of the interim responses so far.
    [[nodiscard]] const header_list& interim_fields() const { return interim_fields_; }

    /// True if the target keeps the connection open after the response.
    [[nodiscard]] bool keeps_connection() const { return keeps_connection_; }

private:
    read_state refuse(std::string reason);
    read_state read_head(evbuffer* input);
    read_state read_body(evbuffer* input);

    response_reader_options options_;
    head_end_scanner head_end_;
    std::optional<body_reader> body_;
    std::shared_ptr<core::stored_answer> response_;
    std::string error_;
    std::size_t interim_heads_ = 0;
    header_list interim_fields_;
    bool begun_ = false;
    bool keeps_connection_ = true;
};

} // namespace catkintally::entry
