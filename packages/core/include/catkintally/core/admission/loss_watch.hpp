#pragma once

#include <catkintally/core/admission/admission_request.hpp>
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

/// Service and target.
using target_key = std::pair<std::string, std::string>;

/// Why a request is taken to be lost.
enum class loss_cause : std::uint8_t
{
    /// The target answers no health check and no new connection to it comes up.
    target_silent,
    /// Another target answers at the address.
    target_replaced,
    /// The target reports fewer requests than it was sent.
    not_at_target
};

/// Name of a cause for logs.
[[nodiscard]] const char* loss_cause_name(loss_cause cause);

/// Fixed inputs of a loss_watch.
struct loss_watch_options
{
    /// Source of time; must outlive the object.
    timer_service* timers = nullptr;
    /// An answer to a check, or a new connection, is awaited this long. Both take a few ms.
    duration answer_time = std::chrono::milliseconds(20);
    /// Sends one health check; answers once, never inline.
    std::function<void(const target_key&, std::function<void(probe_report)>)> probe;
    /// Opens a new connection; calls the hook, never inline, when it stands or fails. A machine
    /// that is down does neither.
    std::function<void(const target_key&, std::function<void()>)> reach;
    /// Told once of each request that is lost; it is not watched any more.
    std::function<void(request_id, loss_cause)> lost;
};

/// Finds requests that will not be answered: because their target went silent, was replaced, or
/// dropped them without a word. A request that takes longer than usual costs a health check of its
/// target, which tells a busy target from a dead one long before the deadline.
class loss_watch
{
public:
    explicit loss_watch(loss_watch_options options);
    ~loss_watch();
    loss_watch(const loss_watch&) = delete;
    loss_watch& operator=(const loss_watch&) = delete;

    /// A request went to `target`. It is checked after `patience`, and then in growing intervals.
    void sent(request_id id, const target_key& target, duration patience);

    /// The request ended. True if its target has answered a check meanwhile, so that the time it
    /// took is no sign of a dead target.
    bool ended(request_id id);

private:
    struct watched
    {
        target_key target;
        time_point sent_at{};
        duration interval{};
        timer_id timer = 0;
        bool target_answered = false;
    };

    struct pending_check
    {
        time_point asked_at{};
        /// Ends the wait for the answer.
        timer_id timer = 0;
        /// Questions without an answer directly before this one.
        std::uint32_t silent_before = 0;
    };

    void check(request_id id);
    void ask(const target_key& target, std::uint32_t silent_before);
    /// Ends the wait for an answer to the question of `asked_at`; false if it is not awaited.
    bool end_wait(const target_key& target, time_point asked_at);
    void on_silence(const target_key& target);
    void take_report(const target_key& target, time_point asked_at, const probe_report& report);
    /// Requests at the target that must have arrived there before `asked_at`, oldest first.
    [[nodiscard]] std::vector<request_id>
    arrived_at(const target_key& target, time_point asked_at) const;
    void give_up(const std::vector<request_id>& requests, loss_cause cause);
    void confirm_missing(const std::vector<request_id>& requests);

    loss_watch_options options_;
    std::map<request_id, watched> watched_;
    std::map<target_key, pending_check> checking_;
    /// Expires with this object; late answers check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace catkintally::core
