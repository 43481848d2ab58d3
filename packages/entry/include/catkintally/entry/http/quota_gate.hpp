#pragma once

#include <catkintally/core/limits/organisation_quota.hpp>
#include <catkintally/entry/http/exchange.hpp>
#include <catkintally/entry/http/pending_request.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace catkintally::entry
{

/// What the path of requests needs from the quotas of organisations. Without `take`, there are
/// none.
struct quota_hooks
{
    /// Takes a token; calls back once, within `longest_wait`, maybe inline.
    std::function<void(
        const std::string& organisation,
        core::duration longest_wait,
        std::function<void(const core::quota_decision&)>)>
        take{};
    /// Returns the token of a request that was not started.
    std::function<void(const std::string& organisation)> refund{};
    /// A request that had a token has ended.
    std::function<void(const std::string& organisation, const exchange_summary&)> ended{};
};

/// Holds requests of organisations until they have a token of the quota.
class quota_gate
{
public:
    /// How a request leaves the gate.
    struct way_out
    {
        /// It has a token and has waited this long.
        std::function<void(core::duration waited)> start;
        /// It has none; the caller should return after this time.
        std::function<void(core::duration retry_after)> refuse;
        /// It is given up without an attempt: the caller has gone, or the process ends.
        std::function<void()> give_up;
    };

    quota_gate(core::timer_service& timers, const quota_hooks& hooks);

    /// Takes a token for the request; one of the functions is called exactly once.
    void enter(
        pending_request& call,
        const std::string& organisation,
        core::duration longest_wait,
        way_out out);

    /// Gives up all requests that wait.
    void give_up_all();

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    struct waiting_request
    {
        std::string organisation;
        core::time_point entered_at{};
        bool has_token = false;
        core::timer_id timer = 0;
        way_out out;
    };
    using request_number = std::uint64_t;

    void decide(request_number number, const core::quota_decision& decision);
    void give_up(request_number number);
    [[nodiscard]] waiting_request remove(request_number number);

    core::timer_service& timers_;
    const quota_hooks& hooks_;
    request_number next_number_ = 1;
    std::map<request_number, waiting_request> waiting_;
};

} // namespace catkintally::entry
