#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/entry/http/pending_request.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace catkintally::entry
{

/// A response that the instance generates itself, with a refusal code for its reason.
struct refusal
{
    std::uint16_t status = 503;
    core::run_claim claim = core::run_claim::attempt_not_run;
    std::string reason;
    /// Zero: no Retry-After.
    core::duration retry_after{};
    /// Scheme in which the caller has to identify itself, for status 401.
    std::string challenge{};
};

/// Value of the header field catkintally-outcome.
[[nodiscard]] std::string_view claim_name(core::run_claim claim);

/// Refusal for the fleet's answer to an admission request. If an earlier attempt may have been
/// executed (`may_have_run`), a claim that nothing was executed becomes `unknown`, with status 502.
[[nodiscard]] refusal refusal_for(const core::admission_answer& answer, bool may_have_run);

/// Response for a refusal. Retry-After is rounded up to whole seconds, or to tenths of a second if
/// fractions are allowed.
[[nodiscard]] caller_response make_response(
    const refusal& refused, const std::string& request_id, bool fractional_retry_after = false);

/// Adds the fields catkintally-outcome and catkintally-reason to a response.
void add_claim(header_list& fields, core::run_claim claim, std::string_view reason);

} // namespace catkintally::entry
