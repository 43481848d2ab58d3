#pragma once

#include <catkintally/entry/http/body_budget.hpp>
#include <catkintally/entry/http/chunk_scanner.hpp>
#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/read_state.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct evbuffer;

namespace catkintally::entry
{

/// What a body may look like.
struct body_rules
{
    /// Larger bodies are refused.
    std::uint64_t max_bytes = 0;
    /// Fields may follow a chunked body; they are dropped.
    bool trailers = false;
    /// A body without declared end lasts until the connection ends.
    bool until_close = false;
    /// Memory for bodies; may be empty.
    std::shared_ptr<body_budget> budget{};
};

/// Why a body is refused.
enum class body_fault : std::uint8_t
{
    malformed,
    too_large,
    /// There is no memory for it now.
    no_memory
};

/// Reads the body of one message, of which the head has been checked.
class body_reader
{
public:
    /// `framing` is what the head declares.
    body_reader(const body_framing& framing, const body_rules& rules);

    /// Takes bytes until the body is whole, more are needed or it is refused.
    read_state read(evbuffer* input);

    /// The connection has ended in order and nothing is left to read: done if the body is whole.
    [[nodiscard]] read_state end_of_input() const;

    /// Why the body was refused; after `fault`.
    [[nodiscard]] body_fault fault() const { return fault_; }

    /// The whole body, and the memory that is reserved for it.
    [[nodiscard]] std::string take();
    [[nodiscard]] body_reservation take_reservation() { return std::move(reservation_); }

private:
    read_state refuse(body_fault fault);
    read_state read_chunks(evbuffer* input);
    read_state read_plain(evbuffer* input);

    body_rules rules_;
    /// Set for a chunked body.
    std::optional<chunk_scanner> chunks_;
    /// Bytes that are still to come; nothing if the body ends with the connection.
    std::optional<std::uint64_t> left_;
    std::string data_;
    body_reservation reservation_;
    body_fault fault_ = body_fault::malformed;
};

} // namespace catkintally::entry
