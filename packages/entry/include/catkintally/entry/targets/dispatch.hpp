#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/entry/http/body_budget.hpp>
#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/shared_body.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace catkintally::entry
{

/// Limits of the connections to targets.
struct target_limits
{
    std::size_t connections = 200;
    core::duration connect_time = std::chrono::seconds(1);
    core::duration idle_time = std::chrono::seconds(10);
    /// Sent bytes that the target's machine has not acknowledged for this long end the connection.
    core::duration unacknowledged_time = std::chrono::seconds(3);
    std::size_t header_bytes = 65'536;
    std::size_t body_bytes = 67'108'864;
    /// An answer without length that ends with an orderly close of its connection is whole.
    bool close_delimited = false;
    /// Memory for bodies; may be empty.
    std::shared_ptr<body_budget> budget{};
};

/// Tells the answer to a request from a surplus answer to an earlier request of the connection, by
/// a header that targets copy from a request into its answer.
struct answer_mark
{
    std::string header;
    /// Value in the request and in its answer. Empty: the request does not carry the header, so its
    /// answer does not either.
    std::string value;
    /// Targets copy the header into every answer, so one without it answers another request.
    bool always = false;

    /// True if an answer with these fields may be the answer to the request.
    [[nodiscard]] bool matches(const header_list& fields) const
    {
        const std::string* found = find_field(fields, header);
        return found == nullptr ? value.empty() || !always : *found == value;
    }
};

/// One request as it is sent to a target.
struct target_request
{
    std::string method;
    /// Path and query.
    std::string uri;
    /// Fields without framing; the connection adds that.
    header_list fields;
    shared_body body;
    /// Answers that do not match are skipped.
    std::optional<answer_mark> mark{};
    /// Largest body of the answer, if less than that of the connection.
    std::optional<std::size_t> answer_bytes{};
    /// Uses a connection of its own, not a kept one.
    bool new_connection = false;
    /// Asked once, directly before the first byte; false holds the request back.
    std::function<bool()> may_send;
};

/// How a dispatch ended.
enum class dispatch_result : std::uint8_t
{
    /// A whole answer arrived.
    answered,
    /// No byte of the request can have reached the target.
    not_sent,
    /// may_send refused; no byte has left.
    held_back,
    /// Bytes may have reached the target, and no whole, well-framed answer came back.
    lost
};

/// Detail of a dispatch that was not sent because the target has all connections that it may have.
inline constexpr const char* connection_limit_detail = "connection limit";

/// End of a dispatch.
struct dispatch_end
{
    dispatch_result result = dispatch_result::lost;
    /// The answer as received, with its own fields; set if answered.
    std::shared_ptr<core::stored_answer> answer;
    /// From the first byte sent to the end.
    core::duration service_time{};
    /// For the log: what was wrong.
    std::string detail;
};

/// Receives the end of a dispatch.
using dispatch_hook = std::function<void(dispatch_end)>;

} // namespace catkintally::entry
