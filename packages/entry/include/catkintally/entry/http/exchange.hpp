#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/http/pending_request.hpp>
#include <catkintally/entry/http/refusal.hpp>
#include <catkintally/entry/targets/target_pool.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::entry
{

struct exchange_plan;

/// Services and settings that an exchange uses.
struct exchange_context
{
    core::timer_service* timers = nullptr;
    const core::admission_gateway* gateway = nullptr;
    target_pool* pool = nullptr;
    const core::target_dialect* dialect = nullptr;
    std::string deadline_header;
    /// Time until the process is killed; empty if that is not known.
    std::function<core::duration()> time_to_end{};
    /// Returns why the newest table does not let the request through any more, if so. Called before
    /// each attempt and directly before its first byte is sent.
    std::function<std::optional<refusal>(const caller_request&, const exchange_plan&)> denied{};
    /// Id for the grant of an attempt that starts while another one is running.
    std::function<core::request_id()> next_grant_id;
};

/// One request with the settings of its route and service.
struct exchange_plan
{
    /// Created with id, service, instance, key and fingerprint. The exchange updates the remaining
    /// times, the retry flag and the excluded targets for each attempt.
    core::admission_request request;
    core::duration deadline{};
    /// Latency within which a response has its full value for the caller. Zero: unknown.
    core::duration latency_objective{};
    /// Maximum number of attempts for this request. The owner's retry budget limits the retries of
    /// all requests together.
    std::uint32_t max_attempts = 4;
    std::vector<std::uint16_t> not_run_statuses;
    std::string request_id;
    /// Number of changes of routes and organisations when the request was handled.
    std::uint64_t access_version = 0;
    /// Header fields of the caller's key and organisation, which are not forwarded as received;
    /// empty if the table has no organisations. See forward_options.
    std::string api_key_header{};
    std::string organisation_header{};
};

/// Outcome of an exchange.
struct exchange_summary
{
    std::uint16_t status = 0;
    /// "answered", or the refusal code.
    std::string reason;
    core::duration total{};
    /// Service time of the attempt that was answered.
    core::duration target_time{};
    std::uint32_t attempts = 0;
    /// Target of the last attempt; empty if there was none.
    std::string target;
    /// A target has executed the request or may have. False guarantees that none did.
    bool executed = false;
};

/// Handles one caller's request from admission to the response: requests a grant from the fleet,
/// sends the request to the granted target, and decides after each failure whether to retry. A
/// request is retried only if it is idempotent or proven not to have been executed. While a target
/// is silent, an idempotent request is sent to another one as well, and the first response counts.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// `ended` is called exactly once, as the last action of the exchange.
    exchange(
        const exchange_context& context,
        pending_request& call,
        exchange_plan plan,
        std::function<void(const exchange_summary&)> ended);

    /// Starts the exchange. The owner keeps the object alive until `ended` is called.
    void start();

    /// A planned stop begins, or the table has changed: refuses a request that waits for admission
    /// and that may outlast the process or is not let through any more.
    void recheck();

    /// Answers the caller now, because the process is about to be killed.
    void end_now();

private:
    /// An attempt whose target may still respond.
    struct running_attempt
    {
        core::request_id grant = 0;
        dispatch_id dispatch = 0;
        std::string target;
        std::string address;
        /// The target does not react, so another one is tried as well.
        bool silent = false;
        /// With `silent`: the target works, but slowly, so that the request was hedged.
        bool slow = false;
        /// Given up without a reason that lies with the target. See completion_report.
        bool untried = false;
    };

    void request_admission(bool retry);
    void on_admission_answer(const core::admission_answer& answer);
    void withdraw_admission();
    void dispatch(const core::admission_answer& answer);
    void watch(core::request_id grant);
    /// Waits for the running attempts, since no other one is possible now.
    void wait_for_targets();
    /// Removes an attempt that has ended or is to be given up.
    running_attempt take_attempt(core::request_id grant);
    void abandon(running_attempt attempt, core::completion_outcome outcome_if_sent);
    void on_grant_lapsed();
    void on_dispatch_end(core::request_id grant, const dispatch_end& end);
    void on_target_lost(core::request_id grant, core::loss_cause cause);
    void on_answer_lost(
        const running_attempt& attempt,
        const dispatch_end& end,
        const std::string& reason,
        core::completion_outcome outcome = core::completion_outcome::connection_lost);
    void on_deadline();
    void on_caller_disconnect();
    [[nodiscard]] bool may_retry() const;
    void exclude(const std::string& target);
    void retry_or_respond(const refusal& fallback);
    void respond_without_retry(const refusal& fallback);
    void report_completion(
        const running_attempt& attempt,
        core::completion_outcome outcome,
        const dispatch_end& end,
        std::shared_ptr<const core::stored_answer> stored = nullptr);
    void refuse(const refusal& refused);
    [[nodiscard]] refusal stopping_refusal() const;
    /// Why the request may not be sent now, whatever the target.
    [[nodiscard]] std::optional<refusal> obstacle() const;
    void forward_response(const core::stored_answer& answer, shared_body body, const char* reason);
    [[nodiscard]] bool refused_unexecuted(const core::stored_answer& answer) const;
    void finish(std::uint16_t status, std::string reason, const caller_response& response);
    void end_without_answer(const refusal& fallback);
    [[nodiscard]] core::duration time_left() const;
    /// True if the request may still be running when the process is killed.
    [[nodiscard]] bool may_outlast_process() const;
    [[nodiscard]] core::run_claim execution_claim() const;

    exchange_context context_;
    pending_request* pending_request_;
    exchange_plan plan_;
    std::function<void(const exchange_summary&)> ended_;
    exchange_summary summary_;
    core::time_point started_{};
    core::timer_id deadline_timer_ = 0;
    bool awaiting_admission_ = false;
    bool caller_gone_ = false;
    /// An earlier attempt may have been executed.
    bool may_have_run_ = false;
    std::uint32_t lapsed_grants_ = 0;
    /// Usually one; further ones only besides those whose target is silent.
    std::vector<running_attempt> running_;
    /// A target refused the request without executing it.
    bool target_refused_ = false;
    /// Retry-After of those refusals, the longest one.
    core::duration target_retry_after_;
    /// Latest response with status 500 or above to an idempotent request; forwarded if no other
    /// attempt is answered.
    std::shared_ptr<const core::stored_answer> failed_answer_;
};

} // namespace catkintally::entry
