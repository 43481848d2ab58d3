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

/// How requests to targets and their answers are marked. The defaults are the product's own marks;
/// an adapter fills this in for targets that use other ones.
struct target_dialect
{
    /// Carries the request's id to the target, which copies it into the answer.
    std::string request_id_header = "catkintally-request-id";
    /// Targets copy the id into every answer, so an answer without it belongs to another request.
    bool responses_carry_request_id = false;
    /// The caller names its requests by that header, so its value is kept.
    bool callers_set_request_id = false;
    /// Names the target that a request is meant for, so that another one that has taken over the
    /// address refuses it. Empty: not sent.
    std::string expected_target_header;
    /// Names the target in the answers to its health check. Empty: targets do not name themselves.
    std::string target_name_header;
    /// An answer without length that ends with an orderly close of its connection is whole.
    bool close_delimited_responses = false;
    /// Retry-After may be given in fractions of a second.
    bool fractional_retry_after = false;
    /// True if the answer states that the target did not run the request. Nothing: the statuses of
    /// the service decide.
    std::function<bool(const stored_answer&)> refused_unexecuted;
    /// Reads the load that a target reports in an answer.
    std::function<std::optional<load_report>(const header_list&)> load;
    /// Reads how much longer a target is cold from the answer to its health check.
    std::function<duration(const header_list&)> warmup_remaining;
};

} // namespace catkintally::core
