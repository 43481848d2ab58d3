#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/entry/http/body_reader.hpp>
#include <catkintally/entry/http/read_state.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

struct evbuffer;

namespace catkintally::entry
{

/// How responses are read.
struct response_rules
{
    /// Largest head and largest body.
    std::size_t header_bytes = 65'536;
    std::size_t body_bytes = 67'108'864;
    /// The request was a HEAD, so no body follows.
    bool head_request = false;
    /// A response without length that ends with an orderly close of its connection is whole. Only
    /// for targets that reset the connection when they break off.
    bool close_delimited = false;
    /// Memory for bodies; may be empty.
    std::shared_ptr<body_budget> budget{};
};

/// Reads one response of a target. Interim responses are dropped; a response whose end cannot be
/// known is refused.
class response_reader
{
public:
    explicit response_reader(response_rules rules)
        : rules_(std::move(rules))
    {
    }

    /// Takes bytes from `input` until the response is whole, more bytes are needed or the response
    /// is refused.
    read_state read(evbuffer* input);

    /// The target has closed the connection in an orderly way; nothing is left to read.
    read_state end_of_input();

    /// True once any byte has arrived.
    [[nodiscard]] bool has_begun() const { return begun_; }

    /// What is wrong; after `fault`.
    [[nodiscard]] const std::string& fault() const { return fault_; }

    /// The whole response with its own fields. The memory of its body stays reserved as long as the
    /// response is shared.
    [[nodiscard]] std::shared_ptr<core::stored_answer> take();

    /// True if the target keeps the connection after the response.
    [[nodiscard]] bool keeps_connection() const { return keeps_connection_; }

private:
    read_state refuse(std::string what);
    read_state read_head(evbuffer* input);
    read_state read_body(evbuffer* input);

    response_rules rules_;
    std::optional<body_reader> body_;
    std::shared_ptr<core::stored_answer> answer_;
    std::string fault_;
    std::size_t interim_heads_ = 0;
    bool begun_ = false;
    bool keeps_connection_ = true;
};

} // namespace catkintally::entry
