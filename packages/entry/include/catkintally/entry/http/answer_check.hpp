#pragma once

#include <catkintally/core/targets/target_dialect.hpp>
#include <catkintally/entry/targets/dispatch.hpp>

#include <cstdint>
#include <string>

namespace catkintally::entry
{

/// Whether a whole answer of a target may be forwarded to the caller.
enum class answer_verdict : std::uint8_t
{
    usable,
    /// A success without the header that targets add to each success: the answer was damaged on its
    /// way, or another program wrote it.
    unsigned_success,
    /// A status by which callers learn that their request was not executed, without the target's
    /// word that it was not. The caller would send the request again.
    unproven_refusal
};

/// Name of the verdict as the reason of a refusal; empty if the answer is usable.
[[nodiscard]] const char* reason_of(answer_verdict verdict);

/// How an attempt ended whose answer has this verdict. A damaged answer counts as lost.
[[nodiscard]] core::completion_outcome outcome_of(answer_verdict verdict);

/// Logs that an answer is not forwarded.
void log_unusable(
    answer_verdict verdict,
    const std::string& request,
    const std::string& target,
    std::uint16_t status);

/// Checks an answer that does not say that the request was not executed. Refusals without proof are
/// usable if the request is idempotent, since it may be sent again anyway.
[[nodiscard]] answer_verdict check_answer(
    const core::target_dialect& dialect, const core::stored_answer& answer, bool idempotent);

/// Adds what the answer and the interim answers before it say about the load and the state of their
/// target to a report.
void add_statements(
    const core::target_dialect& dialect, const dispatch_end& end, core::completion_report& report);

} // namespace catkintally::entry
