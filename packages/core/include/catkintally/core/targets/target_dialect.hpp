#pragma once

#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/core/fleet/admission_gateway.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::core
{

/// Header fields in the order received.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Protocol conventions between the load balancer and its targets: header names and the
/// interpretation of responses. The defaults are the product's own conventions; an adapter sets
/// these fields for targets with other ones.
struct target_dialect
{
    /// Header that carries the request id to the target, which copies it into the response.
    std::string request_id_header = "catkintally-request-id";
    /// True if targets copy the id into every response, so that a response without it belongs to
    /// another request.
    bool responses_carry_request_id = false;
    /// True if callers set the request id in that header themselves, so that its value is kept.
    bool callers_set_request_id = false;
    /// Header that targets add to every success. A success without it is not forwarded. Empty:
    /// there is none.
    std::string signature_header;
    /// Response headers that targets define, whether or not they are read here.
    std::vector<std::string> known_response_headers;
    /// Header that names the intended target of a request, so that another target that now has the
    /// same address rejects it. Empty: not sent.
    std::string expected_target_header;
    /// Header that names the target in its health check responses. Empty: targets do not send their
    /// name.
    std::string target_name_header;
    /// Header in which callers send their API key, and the scheme that precedes the key. Empty:
    /// callers have no keys.
    std::string api_key_header;
    std::string api_key_scheme;
    /// Header that names the caller's organisation to the target.
    std::string organisation_header;
    /// True if a response without a length is complete when its connection is closed in an orderly
    /// way.
    bool close_delimited_responses = false;
    /// True if Retry-After may hold fractions of a second.
    bool fractional_retry_after = false;
    /// Returns true if the response states that the target did not execute the request. If empty,
    /// the service's `not_run_statuses` decide.
    std::function<bool(const stored_answer&)> refused_unexecuted;
    /// Reads the load that a target reports in the headers of a response.
    std::function<std::optional<load_report>(const header_list&)> load;
    /// Reads what a response says about the target's rate limit. Returns nullopt if the response
    /// comes from another target than the one that was asked.
    std::function<std::optional<limit_statement>(const stored_answer&)> limit;
    /// Returns true if the response says that the target leaves; may be empty.
    std::function<bool(const stored_answer&)> leaving;
    /// Reads how long the target wants nothing from this instance, in a response that turns the
    /// request away; may be empty.
    std::function<std::optional<duration>(const stored_answer&)> pause;
    /// Reads the remaining warm-up time of a target from the headers of its health check response.
    std::function<duration(const header_list&)> warmup_remaining;
};

} // namespace catkintally::core
