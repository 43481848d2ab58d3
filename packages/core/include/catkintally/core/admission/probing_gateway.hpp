#pragma once

#include <catkintally/core/admission/crash_history.hpp>
#include <catkintally/core/admission/loss_watch.hpp>
#include <catkintally/core/admission/probe_report.hpp>
#include <catkintally/core/admission/retry_budget.hpp>
#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/admission/target_estimate.hpp>
#include <catkintally/core/admission/target_health.hpp>
#include <catkintally/core/admission/windowed_min_slowdown.hpp>
#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/news/fleet_size_estimator.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// One target that was asked before a decision, for the log.
struct probed_target
{
    std::string name;
    /// The decision was made before the answer came.
    bool pending = true;
    probe_report report;
    target_estimate estimate;
    /// Between question and answer; the age of the answer at the decision is at most this plus the
    /// wait for the other answers.
    duration round_trip{};
};

/// One decision, for the log.
struct probing_decision
{
    std::string trace_id;
    std::string service;
    decision_code code = decision_code::granted;
    /// Chosen target; empty for a refusal.
    std::string target;
    /// From the application to the decision.
    duration took{};
    std::uint64_t table_revision = 0;
    std::vector<probed_target> asked;
};

/// Fixed inputs of a probing_gateway.
struct probing_gateway_options
{
    /// Source of time; must outlive the gateway.
    timer_service* timers = nullptr;
    std::uint64_t seed = 0;
    /// Failure domain of this instance.
    std::string failure_domain{};
    /// Targets asked at once.
    std::size_t targets_asked = 3;
    /// How long answers are awaited.
    duration answer_time = std::chrono::milliseconds(20);
    /// Identity of this instance; shares of what the whole fleet may do follow from it.
    std::string self{};
    /// Retries of one service that all instances together may save up.
    double retry_slack = 40;
    /// Pause between two requests to the same cold target.
    duration cold_interval = std::chrono::seconds(1);
    /// Size of the fleet; empty: this instance is alone.
    std::function<fleet_size()> fleet{};
    /// Sends one health check; answers exactly once, never inline.
    std::function<void(const service_config&, const target_row&, std::function<void(probe_report)>)>
        probe{};
    /// Opens a new connection to a target; calls the hook once, never inline, with whether it
    /// stands.
    std::function<void(const target_row&, std::function<void(bool)>)> reach{};
    /// Told of a crash that other instances may not know yet; may be empty.
    std::function<void(const target_crash&)> crashed{};
    /// Told when a request that was suspected of crashing targets was answered; may be empty.
    std::function<void(std::uint64_t fingerprint)> cleared{};
    /// Told of each decision; may be empty.
    std::function<void(const probing_decision&)> decided{};
    /// Told when a request is found to be lost at its target; may be empty.
    std::function<void(const std::string& trace_id, const std::string& target, loss_cause)> lost{};
    /// Told when a target gets no work for a while because it failed; may be empty.
    std::function<void(const std::string& service, const std::string& target, std::uint32_t)>
        ejected{};
};

/// Admission by one instance alone: before each request it asks a few targets of the service for
/// their load and picks the one at which the request will end first. Use it where load changes
/// faster than instances could tell each other, and where any number of instances may be lost.
class probing_gateway
{
public:
    explicit probing_gateway(probing_gateway_options options);
    ~probing_gateway();
    probing_gateway(const probing_gateway&) = delete;
    probing_gateway& operator=(const probing_gateway&) = delete;

    /// Takes over a table revision.
    void apply(std::shared_ptr<const table_snapshot> table);

    /// The functions for the HTTP path; valid as long as this object.
    [[nodiscard]] admission_gateway gateway();

    /// Takes a crash that another instance saw; false if it is known already.
    bool note_crash(const target_crash& crash);

    /// Crashes whose requests are suspected.
    [[nodiscard]] std::vector<target_crash> suspected_crashes() const
    {
        return crashes_.suspected();
    }

    /// Another instance got an answer to the request. False if it was not suspected.
    bool note_answered(std::uint64_t fingerprint) { return crashes_.answered(fingerprint); }

    /// Probes sent since the start.
    [[nodiscard]] std::uint64_t probes() const { return probes_; }

    /// Targets that get no work now because they failed.
    [[nodiscard]] std::size_t ejected_count() const;

private:
    using answer_hook = std::function<void(admission_answer)>;

    /// What went wrong at a target.
    enum class target_failure : std::uint8_t
    {
        /// No answer, or a bad one.
        answer,
        /// No connection could be made.
        unreachable
    };

    struct target_state
    {
        target_health health;
        std::uint64_t incarnation = 0;
        /// Place in the order in which this instance prefers targets.
        std::uint64_t rank = 0;
        /// Own requests in flight, by the time of their grant.
        std::multiset<time_point> in_flight;
    };
    struct asked_target
    {
        std::string name;
        time_point asked_at{};
        probed_target result;
    };
    struct application
    {
        admission_request request;
        answer_hook answer;
        time_point since{};
        /// Until then the request asks again if it finds no good slot.
        time_point try_until{};
        std::uint32_t round = 0;
        std::vector<asked_target> asked;
        timer_id timer = 0;
    };
    struct grant
    {
        target_key target;
        time_point at{};
        /// Time left for an answer of full use; zero if unknown or over.
        duration objective_left{};
        std::string trace_id;
        std::uint64_t fingerprint = 0;
        /// Told if the target has lost the request; may be empty.
        std::function<void()> lost;
    };

    void ask(admission_request request, answer_hook answer);
    void ask_round(request_id id);
    [[nodiscard]] std::vector<const target_row*> candidates(const application& asking) const;
    [[nodiscard]] std::vector<const target_row*> choose_to_ask(const application& asking);
    void
    take_report(request_id id, std::uint32_t round, const target_key& key, probe_report report);
    void learn(const target_key& key, const probe_report& report);
    /// How slow a target may be relative to its usual speed, as a multiple of what the faster
    /// targets of the service report now.
    [[nodiscard]] double usual_slowdown(const std::string& service) const;
    void weigh(const application& asking, asked_target& asked) const;
    void decide(request_id id);
    void try_later(request_id id);
    [[nodiscard]] const asked_target* best_of(application& asking);
    void finish(request_id id, decision_code code, const target_row* target, duration retry_after);
    [[nodiscard]] bool may_send(request_id id);
    void watch(request_id id, std::function<void()> lost);
    void check_target(const target_key& key, std::function<void(probe_report)> done);
    void reach_target(const target_key& key, std::function<void(bool)> ended);
    void confirm_crash(const grant& ended);
    void on_lost(request_id id, loss_cause cause);
    void complete(const completion_report& report);
    void report_failure(const target_key& key, target_failure failure = target_failure::answer);
    [[nodiscard]] const service_config* service(const std::string& name) const;
    [[nodiscard]] const target_row* row(const target_key& key) const;
    target_state& state(const target_key& key) { return targets_[key]; }
    [[nodiscard]] bool has_targets(const std::string& name) const;
    [[nodiscard]] duration refusal_wait();
    [[nodiscard]] bool may_use(const service_config& config, const target_row& target) const;
    [[nodiscard]] bool is_chosen_for_cold(const service_config& config, const target_row&) const;
    [[nodiscard]] fleet_size fleet() const;

    probing_gateway_options options_;
    std::shared_ptr<const table_snapshot> table_ = std::make_shared<const table_snapshot>();
    std::map<target_key, target_state> targets_;
    std::map<std::string, retry_budget> retries_;
    /// By service.
    std::map<std::string, windowed_min_slowdown> fastest_;
    std::map<request_id, application> applications_;
    std::map<request_id, grant> grants_;
    loss_watch watch_;
    crash_history crashes_;
    split_mix random_;
    std::uint64_t probes_ = 0;
    /// Expires with this object; late answers check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace catkintally::core
