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
#include <vector>

namespace catkintally::entry
{

/// Limits of the connections to targets.
struct target_limits
{
    std::size_t connections = 200;
    core::duration connect_time = std::chrono::seconds(1);
    core::duration idle_time = std::chrono::seconds(10);
    /// A connection is closed if sent bytes stay unacknowledged by the target's machine (TCP) for
    /// this long.
    core::duration unacknowledged_time = std::chrono::seconds(3);
    std::size_t header_bytes = 65'536;
    std::size_t body_bytes = 67'108'864;
    /// Accepts an answer without a length as complete if its connection is closed cleanly.
    bool close_delimited = false;
    /// Response headers that targets define; see target_dialect.
    std::vector<std::string> known_headers{};
    /// Memory budget for bodies; may be null.
    std::shared_ptr<body_budget> budget{};
};

/// Distinguishes the answer to a request from a surplus answer to an earlier request on the same
/// connection, by a header that targets copy from a request into its answer.
struct echoed_header
{
    std::string header;
    /// Value in the request and in its answer. If empty, neither the request nor its answer carries
    /// the header.
    std::string value;
    /// Targets always copy the header, so an answer without it belongs to another request.
    bool always = false;

    /// True if an answer with these fields may be the answer to the request.
    [[nodiscard]] bool matches(const header_list& fields) const
    {
        const std::string* found = find_field(fields, header);
        return found == nullptr ? value.empty() || !always : *found == value;
    }
};

/// A request to a target.
struct target_request
{
    std::string method;
    /// Path and query.
    std::string uri;
    /// Header fields without framing fields, which the connection adds.
    header_list fields;
    shared_body body;
    /// If set, answers that do not match are skipped.
    std::optional<echoed_header> expected_echo{};
    /// Maximum body size of the answer, if lower than the limit of the connection.
    std::optional<std::size_t> answer_bytes{};
    /// Does not reuse an idle connection.
    bool new_connection = false;
    /// Called once, directly before the first byte is sent; if it returns false, nothing is sent.
    std::function<bool()> may_send;
};

/// Outcome of a dispatch.
enum class dispatch_result : std::uint8_t
{
    /// A complete answer was received.
    answered,
    /// No byte of the request can have reached the target.
    not_sent,
    /// may_send returned false; no byte was sent.
    send_refused,
    /// Bytes may have reached the target, and no complete, well-framed answer was received.
    lost
};

/// Detail of a dispatch that was not sent because the connection limit of the target is reached.
inline constexpr const char* connection_limit_detail = "connection limit";

/// Outcome of a dispatch with its answer.
struct dispatch_end
{
    dispatch_result result = dispatch_result::lost;
    /// The answer with its header fields as received; set if answered.
    std::shared_ptr<core::stored_answer> answer;
    /// From the first byte sent to the end.
    core::duration service_time{};
    /// Description of the failure for the log.
    std::string detail;
    /// Header fields of the interim answers before it.
    header_list interim_fields{};
    /// More bytes followed the answer at once.
    bool has_surplus = false;
};

/// Called with the outcome of a dispatch.
using dispatch_hook = std::function<void(dispatch_end)>;

} // namespace catkintally::entry
