#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/http/refusal.hpp>

namespace catkintally::entry
{

namespace
{

std::uint16_t status_of(core::decision_code code)
{
    switch (code)
    {
    case core::decision_code::key_in_progress:
    case core::decision_code::key_already_run:
        return 409;
    case core::decision_code::key_outcome_unknown:
        return 502;
    default:
        return 503;
    }
}

std::string seconds_text(core::duration time, bool fractions)
{
    if (!fractions)
    {
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(time).count());
    }
    const auto tenths = std::chrono::ceil<std::chrono::duration<int, std::deci>>(time).count();
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
}

} // namespace

std::string_view claim_name(core::run_claim claim)
{
    switch (claim)
    {
    case core::run_claim::not_run:
        return "not-run";
    case core::run_claim::attempt_not_run:
        return "attempt-not-run";
    case core::run_claim::in_progress:
        return "in-progress";
    case core::run_claim::already_run:
        return "already-run";
    case core::run_claim::unknown:
        break;
    }
    return "unknown";
}

refusal refusal_for(const core::admission_answer& answer, bool may_have_run)
{
    refusal out{
        .status = status_of(answer.code),
        .claim = answer.claim,
        .reason = wire::EnumNamedecision_code(answer.code),
        .retry_after = answer.retry_after};
    const bool claims_not_run = answer.claim == core::run_claim::not_run ||
                                answer.claim == core::run_claim::attempt_not_run;
    if (may_have_run && claims_not_run)
    {
        out.claim = core::run_claim::unknown;
        out.status = 502;
    }
    return out;
}

void add_claim(header_list& fields, core::run_claim claim, std::string_view reason)
{
    fields.emplace_back(outcome_header, claim_name(claim));
    fields.emplace_back(reason_header, reason);
}

caller_response
make_response(const refusal& refused, const std::string& request_id, bool fractional_retry_after)
{
    caller_response out{
        .status = refused.status,
        .fields = {},
        .body = std::make_shared<const std::string>(refused.reason + "\n")};
    out.fields.emplace_back("Content-Type", "text/plain");
    add_claim(out.fields, refused.claim, refused.reason);
    if (refused.retry_after > core::duration::zero())
    {
        out.fields.emplace_back(
            "Retry-After", seconds_text(refused.retry_after, fractional_retry_after));
    }
    if (!refused.challenge.empty())
    {
        out.fields.emplace_back("WWW-Authenticate", refused.challenge);
    }
    out.fields.emplace_back(request_id_header, request_id);
    return out;
}

} // namespace catkintally::entry
