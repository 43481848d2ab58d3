#pragma once

#include <catkintally/entry/http/body_budget.hpp>
#include <catkintally/entry/http/chunked_decoder.hpp>
#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/read_state.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct evbuffer;

namespace catkintally::entry
{

/// Limits and options for reading a message body.
struct body_reader_options
{
    /// Largest accepted body, in bytes.
    std::uint64_t max_bytes = 0;
    /// Accept trailer fields after a chunked body; they are discarded.
    bool allow_trailers = false;
    /// A body without declared length ends with the connection.
    bool read_until_close = false;
    /// Memory budget for bodies; may be null.
    std::shared_ptr<body_budget> budget{};
};

/// Why a body is refused.
enum class body_error : std::uint8_t
{
    malformed,
    too_large,
    /// The memory budget has no room for it now.
    no_memory
};

/// Reads the body of one message whose head has been checked.
class body_reader
{
public:
    /// `framing` is the framing that the head declares.
    body_reader(const body_framing& framing, const body_reader_options& options);

    /// Takes bytes from `input` until the body is complete, more bytes are needed or it is refused.
    read_state read(evbuffer* input);

    /// Call after an orderly close of the connection, with no input left: `done` if the body ends
    /// with the connection, otherwise the body is truncated and refused.
    [[nodiscard]] read_state end_of_input() const;

    /// Why the body was refused; valid only then.
    [[nodiscard]] body_error error() const { return error_; }

    /// Moves out the complete body, and the reservation of its memory.
    [[nodiscard]] std::string take();
    [[nodiscard]] body_reservation take_reservation() { return std::move(reservation_); }

private:
    read_state refuse(body_error error);
    read_state read_chunks(evbuffer* input);
    read_state read_unchunked(evbuffer* input);

    body_reader_options options_;
    /// Set only for a chunked body.
    std::optional<chunked_decoder> chunk_decoder_;
    /// Bytes still to be read; empty if the body is chunked or ends with the connection.
    std::optional<std::uint64_t> remaining_;
    std::string data_;
    body_reservation reservation_;
    body_error error_ = body_error::malformed;
};

} // namespace catkintally::entry
