#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/http/caller_call.hpp>
#include <catkintally/entry/http/refusal.hpp>
#include <catkintally/entry/targets/target_pool.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// What an exchange needs around it.
struct exchange_context
{
    core::timer_service* timers = nullptr;
    const core::admission_gateway* gateway = nullptr;
    target_pool* pool = nullptr;
    const core::target_dialect* dialect = nullptr;
    std::string deadline_header;
};

/// One request with what routing found out about it.
struct exchange_plan
{
    /// Id, service, instance, key and fingerprint; the exchange keeps the rest up to date.
    core::admission_request request;
    core::duration deadline{};
    /// Time within which an answer is of full use. Zero: unknown.
    core::duration latency_objective{};
    /// Targets to which the request may be sent. The owner's retry budget bounds retries over all
    /// requests; this bounds them for one.
    std::uint32_t max_attempts = 4;
    std::vector<std::uint16_t> not_run_statuses;
    std::string request_id;
};

/// What an exchange reports when it has ended.
struct exchange_summary
{
    std::uint16_t status = 0;
    /// "answered", or the reason of the refusal.
    std::string reason;
    core::duration total{};
    /// Of the dispatch that answered.
    core::duration at_target{};
    std::uint32_t sendings = 0;
    /// Target of the last dispatch; empty if there was none.
    std::string target;
};

/// One caller's request from admission to the response: asks the fleet for a place, sends the
/// request to the granted target, and decides on every failure whether it may be sent again. A
/// request is sent again only if it is idempotent or proven not to have run.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// `ended` is called once, last.
    exchange(
        const exchange_context& context,
        caller_call& call,
        exchange_plan plan,
        std::function<void(const exchange_summary&)> ended);

    /// Starts it. The owner keeps the object until `ended`.
    void start();

private:
    void ask(bool retry);
    void on_answer(const core::admission_answer& answer);
    void dispatch(const core::admission_answer& answer);
    void on_lapsed();
    void on_end(const dispatch_end& end);
    void on_target_lost();
    void on_deadline();
    void on_gone();
    void try_again(const refusal& otherwise);
    void give_up(const refusal& otherwise);
    void complete(
        core::completion_outcome outcome,
        const dispatch_end& end,
        std::shared_ptr<const core::stored_answer> stored = nullptr);
    void refuse(const refusal& refused);
    void forward(const core::stored_answer& answer, shared_body body, const char* reason);
    [[nodiscard]] bool refused_unexecuted(const core::stored_answer& answer) const;
    void finish(std::uint16_t status, std::string reason, const caller_reply& response);
    [[nodiscard]] core::duration time_left() const;
    [[nodiscard]] core::run_claim unsent_claim() const;

    exchange_context context_;
    caller_call* call_;
    exchange_plan plan_;
    std::function<void(const exchange_summary&)> ended_;
    exchange_summary summary_;
    core::time_point started_{};
    core::timer_id deadline_timer_ = 0;
    bool asking_ = false;
    bool gone_ = false;
    /// An earlier sending may have run.
    bool maybe_ran_ = false;
    std::uint32_t lapsed_grants_ = 0;
    dispatch_id dispatch_ = 0;
    std::string target_;
    /// The last target refused the request without running it.
    bool target_refused_ = false;
    /// Answer by which a target reported a failure of its own, forwarded if no other one answers.
    std::shared_ptr<const core::stored_answer> failed_answer_;
};

} // namespace catkintally::entry
