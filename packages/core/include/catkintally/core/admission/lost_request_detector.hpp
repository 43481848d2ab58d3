#pragma once

#include <catkintally/core/admission/admission_request.hpp>
#include <catkintally/core/admission/loss_cause.hpp>
#include <catkintally/core/admission/probe_report.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::core
{

/// Service name and target name.
using target_key = std::pair<std::string, std::string>;

/// Fixed inputs of a lost_request_detector.
struct lost_request_detector_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// Timeout of a health check or a connection attempt. Both normally take a few ms.
    duration check_timeout = std::chrono::milliseconds(20);
    /// Sends one health check; calls the callback once, never inline.
    std::function<void(const target_key&, std::function<void(probe_report)>)> probe;
    /// Opens a new connection; calls the callback, never inline, when it is established or fails. A
    /// machine that is down does neither.
    std::function<void(const target_key&, std::function<void()>)> try_connect;
    /// Called once for each lost request, which is no longer watched.
    std::function<void(request_id, loss_cause)> on_lost;
};

/// Detects requests that will not be answered because their target stopped responding, was replaced
/// or silently dropped them. If a request takes longer than usual, its target is health-checked,
/// which tells a busy target from a dead one long before the deadline.
class lost_request_detector
{
public:
    explicit lost_request_detector(lost_request_detector_options options);
    ~lost_request_detector();
    lost_request_detector(const lost_request_detector&) = delete;
    lost_request_detector& operator=(const lost_request_detector&) = delete;

    /// Starts watching a request that was sent to `target`. Its first check comes after
    /// `check_delay`, further ones at growing intervals.
    void add_request(request_id id, const target_key& target, duration check_delay);

    /// The first byte of a watched request is sent now, on a connection that was established after
    /// add_request().
    void note_sent(request_id id);

    /// The target has started anew since it got this request, so its reports are not about it.
    void note_restart(request_id id);

    /// Stops watching a request that ended. True if its target has answered a check in the
    /// meantime, so that the time the request took is no sign of a dead target.
    bool remove_request(request_id id);

private:
    struct watched_request
    {
        target_key target;
        time_point sent_at{};
        duration interval{};
        timer_id timer = 0;
        bool target_answered = false;
        /// The request was sent to an earlier start of the target.
        bool before_restart = false;
        /// The target's last report had no place for this request.
        bool missing = false;
    };

    struct pending_check
    {
        time_point started_at{};
        /// Fires when the check times out.
        timer_id timer = 0;
        /// Consecutive unanswered checks directly before this one. The first check is a health
        /// check, the following ones are connection attempts.
        std::uint32_t unanswered_before = 0;
    };

    void on_check_due(request_id id);
    void start_check(const target_key& target, std::uint32_t unanswered_before);
    /// Ends the check that started at `started_at`; false if it is not pending.
    bool end_check(const target_key& target, time_point started_at);
    void on_check_timeout(const target_key& target);
    void
    on_probe_report(const target_key& target, time_point started_at, const probe_report& report);
    /// Requests that must have arrived at the target before `started_at`, oldest first.
    [[nodiscard]] std::vector<request_id>
    arrived_before(const target_key& target, time_point started_at) const;
    void report_lost(const std::vector<request_id>& requests, loss_cause cause);
    /// Requests that neither this report of the target nor the previous one has a place for.
    [[nodiscard]] std::vector<request_id> missing_twice(
        const target_key& target, const load_report& load, const std::vector<request_id>& requests);
    /// Checks the target once more, since its report may have crossed the request or its answer.
    void schedule_confirmation(const target_key& target);

    lost_request_detector_options options_;
    std::map<request_id, watched_request> watched_;
    std::map<target_key, pending_check> checks_;
    /// Expires with this object; callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace catkintally::core
