#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/entry/http/caller_call.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace catkintally::entry
{

/// A typed response that the instance makes itself.
struct refusal
{
    std::uint16_t status = 503;
    core::run_claim claim = core::run_claim::attempt_not_run;
    std::string reason;
    /// Zero: no Retry-After.
    core::duration retry_after{};
};

/// Value of catkintally-outcome.
[[nodiscard]] std::string_view claim_name(core::run_claim claim);

/// Refusal for the fleet's answer to an admission request. With an earlier sending that may have
/// run
/// (`maybe_ran`), the claim is `unknown` whatever the fleet says about this one.
[[nodiscard]] refusal refusal_for(const core::admission_answer& answer, bool maybe_ran);

/// The response to the caller. Retry-After is rounded up to whole seconds unless fractions are
/// allowed.
[[nodiscard]] caller_reply make_reply(
    const refusal& refused, const std::string& request_id, bool fractional_retry_after = false);

/// Adds claim and reason to the fields of a response.
void add_claim(header_list& fields, core::run_claim claim, std::string_view reason);

} // namespace catkintally::entry
