#include <catkintally/core/targets/header_fields.hpp>
#include <catkintally/entry/http/answer_check.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <array>

namespace catkintally::entry
{

namespace
{

/// Statuses that promise callers that their request was not and will not be executed.
constexpr std::array<std::uint16_t, 4> not_executed_statuses = {408, 421, 429, 503};

bool is_success(std::uint16_t status)
{
    return status >= 200 && status < 300;
}

} // namespace

const char* reason_of(answer_verdict verdict)
{
    switch (verdict)
    {
    case answer_verdict::unsigned_success:
        return "unsigned_success";
    case answer_verdict::unproven_refusal:
        return "unproven_refusal";
    case answer_verdict::usable:
        break;
    }
    return "";
}

core::completion_outcome outcome_of(answer_verdict verdict)
{
    return verdict == answer_verdict::unproven_refusal ? core::completion_outcome::answered_error
                                                       : core::completion_outcome::connection_lost;
}

void log_unusable(
    answer_verdict verdict,
    const std::string& request,
    const std::string& target,
    std::uint16_t status)
{
    runtime::log_event(
        runtime::event_id::target_answer_unusable, {{"request", request},
                                                    {"target", target},
                                                    {"status", std::to_string(status)},
                                                    {"reason", reason_of(verdict)}});
}

answer_verdict check_answer(
    const core::target_dialect& dialect, const core::stored_answer& answer, bool idempotent)
{
    const std::string& signature = dialect.signature_header;
    if (is_success(answer.status) && !signature.empty() &&
        core::find_header(answer.headers, signature) == nullptr)
    {
        return answer_verdict::unsigned_success;
    }
    const bool promises_not_executed =
        std::find(not_executed_statuses.begin(), not_executed_statuses.end(), answer.status) !=
        not_executed_statuses.end();
    return promises_not_executed && !idempotent && dialect.refused_unexecuted
               ? answer_verdict::unproven_refusal
               : answer_verdict::usable;
}

void add_statements(
    const core::target_dialect& dialect, const dispatch_end& end, core::completion_report& report)
{
    const auto says_leaving = [&](const core::stored_answer& answer)
    { return dialect.leaving && dialect.leaving(answer); };
    if (end.answer)
    {
        report.status = end.answer->status;
        report.body_bytes = end.answer->body.size();
        report.load = dialect.load(end.answer->headers);
        report.limit = dialect.limit ? dialect.limit(*end.answer) : std::nullopt;
        report.leaving = says_leaving(*end.answer);
        report.pause = dialect.pause ? dialect.pause(*end.answer) : std::nullopt;
    }
    if (!end.interim_fields.empty())
    {
        core::stored_answer interim;
        interim.headers = end.interim_fields;
        report.leaving = report.leaving || says_leaving(interim);
    }
}

} // namespace catkintally::entry
