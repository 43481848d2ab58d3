#pragma once

#include <catkintally/core/admission/admission_decision.hpp>
#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/core/admission/loss_cause.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::core
{

/// What a response may truthfully say about the execution of the caller's request.
enum class run_claim : std::uint8_t
{
    /// Nothing with this key or request has run.
    not_run,
    /// This sending reached no target; an earlier sending of the same key may have.
    attempt_not_run,
    in_progress,
    already_run,
    unknown
};

/// A whole answer, kept for callers that send the same idempotency key again.
struct stored_answer
{
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Answer of the fleet to one admission request, as the HTTP path sees it.
struct admission_answer
{
    decision_code code = decision_code::refused_no_owner;
    run_claim claim = run_claim::attempt_not_run;
    /// Granted target and its address; empty for a refusal.
    std::string target;
    std::string address;
    /// The first byte must leave before this time.
    time_point send_before{};
    /// Zero where waiting does not help.
    duration retry_after{};
    /// Set with key_already_run if the whole answer is still kept.
    std::shared_ptr<const stored_answer> replay;
};

/// What the HTTP path needs from the fleet. Filled in by fleet_node, or by a stub in tests.
struct admission_gateway
{
    /// Applies for a place; answers exactly once unless cancelled.
    std::function<void(admission_request, std::function<void(admission_answer)>)> ask;
    /// Withdraws an application that has not been answered.
    std::function<void(request_id)> cancel;
    /// Checked directly before the first byte is sent: the grant is still valid, the target is not
    /// draining or out, and this instance's view of the fleet is fresh.
    std::function<bool(request_id)> may_send;
    /// Asks to be told, at most once and never inline, if the target turns out to have lost the
    /// granted request, which was sent. May be called again after the callback. Empty where nothing
    /// looks for lost requests.
    std::function<void(request_id, std::function<void(loss_cause)>)> watch{};
    /// Reports the end of a granted request. `answer` is set for a keyed request that was answered.
    std::function<void(completion_report, std::shared_ptr<const stored_answer>)> complete;
};

} // namespace catkintally::core
