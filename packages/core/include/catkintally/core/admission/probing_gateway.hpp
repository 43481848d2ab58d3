#pragma once

#include <catkintally/core/admission/crash_history.hpp>
#include <catkintally/core/admission/domain_overflow.hpp>
#include <catkintally/core/admission/hedge_policy.hpp>
#include <catkintally/core/admission/lost_request_detector.hpp>
#include <catkintally/core/admission/probe_report.hpp>
#include <catkintally/core/admission/retry_budget.hpp>
#include <catkintally/core/admission/shortage_policy.hpp>
#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/admission/target_barriers.hpp>
#include <catkintally/core/admission/target_estimate.hpp>
#include <catkintally/core/admission/target_health.hpp>
#include <catkintally/core/admission/windowed_min_slowdown.hpp>
#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/limits/target_rate_limiter.hpp>
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

/// One target that was probed for a decision, for the log.
struct probed_target
{
    std::string name;
    /// No probe report had arrived when the decision was made.
    bool pending = true;
    probe_report report;
    target_estimate estimate;
    /// Time from the probe to its report. The age of the report at the decision is at most this
    /// plus the wait for the other reports.
    duration round_trip{};
};

/// One admission decision, for the log.
struct probing_decision
{
    std::string trace_id;
    std::string service;
    decision_code code = decision_code::granted;
    /// Chosen target; empty for a refusal.
    std::string target;
    /// Time from the admission request to the decision.
    duration took{};
    std::uint64_t table_revision = 0;
    std::vector<probed_target> asked;
    std::uint32_t priority = 0;
    /// Treatment of the request because its service was short of slots.
    shortage_terms shortage;
    /// Rate limits of the service's targets, for a refusal because of them.
    std::vector<target_limit_dump> limits;
};

/// Fixed inputs of a probing_gateway.
struct probing_gateway_options
{
    /// Source of time; must outlive the gateway.
    timer_service* timers = nullptr;
    std::uint64_t seed = 0;
    /// Failure domain of this instance.
    std::string failure_domain{};
    /// Targets probed per round.
    std::size_t targets_per_round = 3;
    /// Timeout of one probe round.
    duration probe_timeout = std::chrono::milliseconds(20);
    /// Identity of this instance. Hashed with target names to rank targets and to assign instances
    /// to cold targets.
    std::string self{};
    /// Unused retries of one service that all instances together may accumulate.
    double retry_slack = 40;
    /// Minimum interval between two requests of this instance to the same cold target.
    duration cold_interval = std::chrono::seconds(1);
    hedge_policy_options hedging{};
    /// Enforces the rate limits that targets name; null if none are enforced. Must outlive the
    /// gateway.
    target_rate_limiter* limiter = nullptr;
    /// The shortage policy and the handling of full targets apply to services whose targets have at
    /// least this many slots.
    std::uint32_t shortage_min_slots = 4;
    /// Returns the requests per second of an organisation over all instances; may be empty.
    organisation_usage::fleet_rate organisation_rate{};
    /// Overflow to other failure domains.
    overflow_settings overflow{};
    /// Returns the size of the fleet; may be empty if this is the only instance.
    std::function<fleet_size()> fleet{};
    /// Sends one health check; calls the callback exactly once, never inline.
    std::function<void(const service_config&, const target_row&, std::function<void(probe_report)>)>
        probe{};
    /// Opens a new connection to a target; calls the callback once, never inline, with true if it
    /// was established.
    std::function<void(const target_row&, std::function<void(bool)>)> try_connect{};
    /// Called for a crash that other instances may not know yet; may be empty.
    std::function<void(const target_crash&)> crashed{};
    /// Called with a record of a request that crashes targets, for the other instances; may be
    /// empty.
    std::function<void(const crash_record&)> announce_crash_record{};
    /// Makes the platform's store hold at least `crashes` crashes of a request; calls `done` once,
    /// with false if the store does not take the record now. May be empty, as the next two, if
    /// records are kept in memory only.
    std::function<void(
        std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)>
        save_crash_record{};
    /// Records one crash more than the store holds, at least `crashes`, before the request is sent
    /// once more; calls `done` once, with true if this instance may send it.
    std::function<void(
        std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)>
        reserve_crash_attempt{};
    /// A target has responded to a request of which the store may hold a record.
    std::function<void(std::uint64_t fingerprint)> remove_crash_record{};
    /// Called when a request that was suspected of crashing targets was answered; may be empty.
    std::function<void(std::uint64_t fingerprint)> cleared{};
    /// Called for each decision; may be empty.
    std::function<void(const probing_decision&)> on_decided{};
    /// Called when a request is found to be lost at its target; may be empty.
    std::function<void(const std::string& trace_id, const std::string& target, loss_cause)>
        on_lost{};
    /// Called when a target is ejected, with its number of consecutive failures; may be empty.
    std::function<void(const std::string& service, const std::string& target, std::uint32_t)>
        ejected{};
    /// Called when requests of a service begin (true) or cease (false) to overflow to other
    /// domains; may be empty.
    std::function<void(const std::string& service, bool active)> overflow_changed{};
};

/// Admission without coordination between instances: probes the load of a few targets of the
/// service before each request and picks the one with the lowest expected completion time. Suited
/// to loads that change faster than instances could tell each other, and to fleets in which any
/// number of instances may fail.
class probing_gateway
{
public:
    explicit probing_gateway(probing_gateway_options options);
    ~probing_gateway();
    probing_gateway(const probing_gateway&) = delete;
    probing_gateway& operator=(const probing_gateway&) = delete;

    /// Applies a table revision.
    void apply(std::shared_ptr<const table_snapshot> table);

    /// The interface for the HTTP path; valid for the lifetime of this object.
    [[nodiscard]] admission_gateway gateway();

    /// Applies a record that the platform's store holds. False if a target has responded to the
    /// request since.
    bool restore_crash_record(std::uint64_t fingerprint, std::uint32_t crashes);

    /// Records a crash that another instance observed; false if it is known already.
    bool note_crash(const target_crash& crash);

    /// Merges a record of a request that crashes targets, of another instance.
    crash_record_news merge_crash_record(const crash_record& received)
    {
        return crashes_.refused().merge(received, options_.timers->now());
    }

    /// The requests that are refused because they crash targets.
    [[nodiscard]] std::vector<crash_record> crash_records() const
    {
        return crashes_.refused().all(options_.timers->now());
    }

    /// Crashes whose requests are suspected of causing them.
    [[nodiscard]] std::vector<target_crash> suspected_crashes() const
    {
        return crashes_.suspected();
    }

    /// Records that another instance got an answer to the request. False if it was not suspected.
    bool note_answered(std::uint64_t fingerprint)
    {
        return crashes_.answered(fingerprint, options_.timers->now());
    }

    /// Number of health checks sent since the start, including those of overdue requests.
    [[nodiscard]] std::uint64_t probes() const { return probes_; }

    /// Targets that get no new requests because they leave or have asked for a pause.
    [[nodiscard]] std::vector<target_barrier_dump> barriers() const
    {
        return barriers_.dump(options_.timers->now());
    }

    /// State of the services to which the shortage policy applies.
    [[nodiscard]] std::vector<shortage_dump> shortage() const
    {
        return shortage_.dump(options_.timers->now());
    }

    /// Number of connections that targets have reset because they were full.
    [[nodiscard]] std::uint64_t full_resets() const { return full_resets_; }
    /// Overflow to other failure domains, by service; empty while it is off.
    [[nodiscard]] std::vector<domain_overflow_dump> overflows() const;

    /// Number of targets that are currently ejected.
    [[nodiscard]] std::size_t ejected_count() const;

private:
    using admission_callback = std::function<void(admission_answer)>;

    /// How a target failed.
    enum class target_failure : std::uint8_t
    {
        /// No response, or an error.
        bad_response,
        /// No connection could be established.
        unreachable
    };

    struct target_state
    {
        target_health health;
        std::uint64_t incarnation = 0;
        /// Rank of the target in the preference order of this instance.
        std::uint64_t rank = 0;
        /// Requests of this instance in flight, by the time of their grant.
        std::multiset<time_point> in_flight;
        /// Load that the target has last reported, and when the report arrived.
        std::optional<load_report> last_load;
        time_point last_load_at{};
        /// Until then the target counts as full, whatever it reports: it has reset a connection.
        time_point full_until{};
        /// Connections that it has reset because it was full, since it last answered a request.
        std::uint32_t resets_since_answer = 0;
    };
    struct probe_attempt
    {
        std::string name;
        time_point probed_at{};
        probed_target result;
    };
    struct pending_admission
    {
        admission_request request;
        admission_callback callback;
        time_point submitted_at{};
        /// Until then the request probes again if it finds no acceptable slot.
        time_point probe_until{};
        shortage_terms terms;
        std::uint32_t round = 0;
        std::vector<probe_attempt> probes;
        timer_id timer = 0;
        /// The request waits for a token of a target's rate limit.
        bool awaits_token = false;
        /// The overflow of the service has been asked for this request.
        bool asked_overflow = false;
        /// The overflow of the service has sent a probe round of this request to other domains.
        bool left_domain = false;
    };
    /// Targets that a request may use.
    struct usable_targets
    {
        std::vector<const target_row*> rows;
        /// Targets that were left out because they are cold.
        std::size_t cold = 0;
        /// Targets that were left out only because of their rate limits.
        std::size_t limited = 0;
    };
    struct grant
    {
        target_key target;
        std::uint64_t incarnation = 0;
        time_point granted_at{};
        /// Time left until the latency objective; zero if there is none or it has passed.
        duration objective_left{};
        std::string trace_id;
        std::uint64_t fingerprint = 0;
        /// The request is idempotent and this is its first attempt, so that it may be hedged.
        bool may_hedge = false;
        std::uint32_t priority = 0;
        bool idempotent = false;
        /// The request takes one of the last slots of the target.
        bool nearly_full = false;
        /// Called if the target has lost the request; may be empty.
        std::function<void(loss_cause)> on_lost;
    };

    void ask(admission_request request, admission_callback answer);
    /// Admits the request, or refuses it because it crashes targets, or lets it wait until this
    /// instance may send it once.
    void check_for_crashes(request_id id);
    void refuse_crashing(request_id id);
    /// Records the claimed attempt in the store, if there is one, and then sends the request.
    void reserve_attempt(request_id id);
    /// Writes the crashes of a request to the store, if there is one.
    void save_crashes(std::uint64_t fingerprint);
    /// A target has responded to the request.
    void clear_suspicion(std::uint64_t fingerprint);
    void start_probe_round(request_id id);
    [[nodiscard]] usable_targets candidates(const pending_admission& admission) const;
    [[nodiscard]] std::vector<const target_row*>
    choose_probe_targets(pending_admission& admission, const usable_targets& usable);
    /// Overflow of a service; null if it is off, or if targets of the service have few slots.
    [[nodiscard]] domain_overflow* overflow(const std::string& name);
    void record_probe_outcome(const target_key& key, const probe_report& report);
    /// Targets of other domains for the next probe round, if the overflow sends it there.
    [[nodiscard]] std::vector<const target_row*>
    choose_remote_targets(pending_admission& admission, const usable_targets& usable);
    void record_grant(const pending_admission& admission, const target_row& target);
    void record_response(const completion_report& report);
    void wait_for_token(request_id id);
    void stop_waiting_for_token(pending_admission& admission);
    /// True if a healthy target among the probed ones cannot be used because of its rate limit.
    [[nodiscard]] bool is_blocked_by_limit(const pending_admission& admission) const;
    [[nodiscard]] bool
    within_rate_limit(const service_config& config, const target_row& target) const;
    /// Returns the token of a request that was not sent.
    void refund_token(const target_key& key);
    void observe_limit(
        const target_key& key,
        const std::optional<limit_statement>& statement,
        time_point sent_at,
        bool executed);
    void
    on_probe_report(request_id id, std::uint32_t round, const target_key& key, probe_report report);
    void update_target_state(const target_key& key, const probe_report& report);
    /// Baseline for the limits on the slowdown of a target: the lowest slowdown that targets of the
    /// service reported recently; 1 if that is lower or there are too few reports.
    [[nodiscard]] double baseline_slowdown(const std::string& service) const;
    /// True if the target is not so slow that another probe round is worthwhile.
    [[nodiscard]] static bool is_acceptable(const probe_attempt& attempt, double baseline);
    /// True if the target has a slot for the request, in addition to those that it must leave free.
    [[nodiscard]] bool
    has_slot_for(const pending_admission& admission, const probe_attempt& attempt) const;
    [[nodiscard]] static bool
    is_nearly_full(const pending_admission& admission, const target_row& target);
    void update_estimate(const pending_admission& admission, probe_attempt& attempt) const;
    void decide(request_id id);
    void schedule_next_probe(request_id id);
    [[nodiscard]] const probe_attempt* find_best(pending_admission& admission);
    void finish(request_id id, decision_code code, const target_row* target, duration retry_after);
    [[nodiscard]] bool may_send(request_id id);
    void watch(request_id id, std::function<void(loss_cause)> on_lost);
    void check_target(const target_key& key, std::function<void(probe_report)> done);
    void try_connect_target(const target_key& key, std::function<void(bool)> completed);
    /// Opens a new connection to the target and records a crash if it is not accepted. Otherwise
    /// calls `on_accepted`, which may be empty.
    void confirm_crash(const grant& completed, const std::function<void()>& on_accepted = {});
    /// Handles a connection that ended before the response, while `others` further requests of this
    /// instance were in flight at the target.
    void handle_connection_lost(const grant& completed, std::size_t others);
    /// True if the target was probably full when it ended the connection.
    [[nodiscard]] bool was_full(const grant& completed, std::size_t others) const;
    /// True if a report that arrived after the grant shows that the target has no free slot.
    [[nodiscard]] bool is_full_since(const grant& granted) const;
    /// True if the table lists a later start of the target than the one that was granted.
    [[nodiscard]] bool has_restarted(const grant& granted) const;
    void handle_loss(request_id id, loss_cause cause);
    /// Schedules the time at which a slow request is hedged, if it may be.
    void schedule_hedge(request_id id, const grant& granted);
    void hedge(request_id id, time_point granted_at);
    void complete(const completion_report& report);
    void
    report_failure(const target_key& key, target_failure failure = target_failure::bad_response);
    [[nodiscard]] const service_config* service(const std::string& name) const;
    [[nodiscard]] const target_row* find_row(const target_key& key) const;
    target_state& state(const target_key& key) { return targets_[key]; }
    /// True if the table and the target itself let it receive new requests.
    [[nodiscard]] bool takes_requests(const std::string& service, const target_row& target) const;
    /// True if takes_requests() is true and the target may be granted a request now. After a pause,
    /// grants are spaced.
    [[nodiscard]] bool may_get_grant(const std::string& service, const target_row& target) const;
    /// Records what the target has announced in a response.
    void note_statements(const target_key& key, bool leaving, const std::optional<duration>& pause);
    /// Retry-after time if all targets of the service that could take requests have asked for a
    /// pause; nothing otherwise.
    [[nodiscard]] std::optional<duration> pause_retry_after(const std::string& service);
    [[nodiscard]] bool has_available_target(const std::string& name) const;
    [[nodiscard]] duration random_retry_after();
    [[nodiscard]] duration random_spread();
    [[nodiscard]] bool
    within_warmup_limit(const service_config& config, const target_row& target) const;
    [[nodiscard]] bool
    is_assigned_to_cold_target(const service_config& config, const target_row&) const;
    [[nodiscard]] fleet_size fleet() const;

    probing_gateway_options options_;
    std::shared_ptr<const table_snapshot> table_ = std::make_shared<const table_snapshot>();
    std::map<target_key, target_state> targets_;
    std::map<std::string, retry_budget> retry_budgets_;
    /// Lowest reported slowdowns, by service.
    std::map<std::string, windowed_min_slowdown> slowdown_windows_;
    std::map<std::string, domain_overflow> overflows_;
    std::map<request_id, pending_admission> pending_admissions_;
    std::map<request_id, grant> grants_;
    /// Number of pending admissions that wait for a token, by service.
    std::map<std::string, std::size_t> token_waiters_;
    target_barriers barriers_;
    lost_request_detector lost_request_detector_;
    hedge_policy hedges_;
    crash_history crashes_;
    shortage_policy shortage_;
    std::uint64_t full_resets_ = 0;
    split_mix random_;
    std::uint64_t probes_ = 0;
    /// Expires with this object; callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace catkintally::core
