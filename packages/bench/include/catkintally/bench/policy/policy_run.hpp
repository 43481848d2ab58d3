#pragma once

#include <catkintally/bench/policy/fake_target.hpp>
#include <catkintally/core/admission/local_gateway.hpp>
#include <catkintally/core/admission/service_admission.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <array>
#include <memory>
#include <string_view>

namespace catkintally::bench
{

/// Who decides where a request goes.
enum class policy : std::uint8_t
{
    round_robin,
    two_choices,
    least_in_flight,
    /// One owner per service: the product's policy.
    owner,
    /// One queue that knows the present state of every target, without hops.
    oracle
};

inline constexpr std::array<std::string_view, 5> policy_names = {
    "round_robin", "two_choices", "least_in_flight", "owner", "oracle"};

/// What one run measured.
struct policy_result
{
    /// Time beyond the request's own work at full speed, of answered requests, sorted.
    std::vector<core::duration> added;
    std::size_t refused = 0;
    std::size_t timed_out = 0;
    core::service_admission_dump owner_dump;

    /// The value that `share` of the answered requests do not exceed, in milliseconds.
    [[nodiscard]] double quantile_ms(double share) const;
};

/// Runs one workload through one policy in virtual time: 13 instances in the failure domains of the
/// service, fake targets, and messages that take the time of a hop.
class policy_run
{
public:
    /// All arguments must outlive the run.
    policy_run(const deployment& service, const workload& load, policy decides);

    /// Runs to the end; call once.
    policy_result run();

private:
    void next_arrival();
    void arrive(std::size_t number);
    void decided(const core::admission_decision& decision);
    void send(std::size_t number, const std::string& target);
    void returned(std::size_t number, const std::string& target, bool answered);
    void serve_oracle_queue();
    [[nodiscard]] core::duration hop(std::uint32_t from_domain, std::uint32_t to_domain) const;
    [[nodiscard]] std::uint32_t domain_of(std::size_t number) const;
    [[nodiscard]] core::duration hop_to_owner(std::size_t number) const;
    [[nodiscard]] core::admission_request request_for(std::size_t number) const;
    [[nodiscard]] bool measured(std::size_t number) const;

    const deployment& service_;
    const workload& load_;
    policy policy_;
    core::manual_timer_service timers_;
    core::table_snapshot table_;
    std::vector<std::unique_ptr<fake_target>> targets_;
    std::unique_ptr<core::service_admission> owner_;
    std::vector<std::unique_ptr<core::local_gateway>> locals_;
    std::deque<std::size_t> oracle_queue_;
    std::size_t arrived_ = 0;
    policy_result result_;
};

} // namespace catkintally::bench
