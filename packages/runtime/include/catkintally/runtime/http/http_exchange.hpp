#pragma once

#include <catkintally/core/table/endpoint.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::runtime
{

/// Methods that http_client sends.
enum class http_method : std::uint8_t
{
    get,
    put,
    post,
    remove
};

/// How far a call came.
enum class http_outcome : std::uint8_t
{
    /// A whole response arrived.
    answered,
    /// The connection attempt failed, so the server has not seen the request.
    not_connected,
    /// No whole response arrived; the server may have run the request.
    no_answer
};

/// One request of http_client.
struct http_request
{
    core::endpoint address{};
    http_method method = http_method::get;
    /// Path and query, already percent-encoded.
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    /// Time until the call ends without an answer, unless its body has begun to arrive.
    core::duration deadline = std::chrono::seconds(1);
    /// Time for the next part of the body. The time for all of it depends on the link, so it is
    /// bounded generously.
    core::duration part_deadline = std::chrono::seconds(1);
    core::duration body_deadline = std::chrono::seconds(10);
    /// True if the request may run twice. It may then use a kept connection, and is sent once more
    /// when that connection turns out to be closed. Other requests get a connection of their own.
    bool idempotent = false;
};

/// Result of one call.
struct http_response
{
    http_outcome outcome = http_outcome::no_answer;
    /// HTTP status; 0 unless answered.
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    /// Bytes of the body that arrived, also if it is not whole.
    std::size_t received_bytes = 0;
};

} // namespace catkintally::runtime
