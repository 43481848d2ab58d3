#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/stand_ins/target/target_log.hpp>
#include <catkintally/stand_ins/target/target_options.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace catkintally::stand_ins
{

/// How a target answers one request.
struct target_answer
{
    int status = 200;
    /// The refusal carries the statement that the request was not run.
    bool not_run = false;
    /// The connection is closed without a response.
    bool close = false;
    /// The connection is reset without a response.
    bool reset = false;
};

/// One request at a target.
struct target_request
{
    std::string key{};
    std::string request_id{};
    std::string path{};
    /// Work that stops when its caller goes away.
    bool cancellable = true;
    std::optional<core::duration> deadline{};
    std::function<void(target_answer)> answer{};
};

/// Behaviour of one target without sockets: slots, cold start, slowdown, shedding and crashes. The
/// service times follow from the seed and the order of starts.
class target_model
{
public:
    /// `timers` and `log` must outlive this object.
    target_model(target_options options, core::timer_service& timers, target_log& log);
    ~target_model();
    target_model(const target_model&) = delete;
    target_model& operator=(const target_model&) = delete;

    /// Takes a request; the returned handle is for cancel().
    std::uint64_t submit(target_request request);
    /// The caller has gone: queued work and cancellable running work end without an answer.
    void cancel(std::uint64_t handle);

    /// Drops all work, goes down for the configured time and comes back cold.
    void crash();
    [[nodiscard]] bool down() const { return down_; }
    /// Called after the target went down, and again when it is back.
    std::function<void(bool down)> down_changed;

    void make_cold();
    void set_slow(double factor, core::duration length);
    void set_draining(bool draining);
    /// Counts starts as if the target drained, but tells nobody: for a target that operators take
    /// out without its knowledge.
    void watch_starts(bool watched);
    void set_shedding(bool shedding) { shedding_ = shedding; }
    void set_failing(bool failing) { failing_ = failing; }
    void set_reset_when_full(bool reset) { options_.reset_when_full = reset; }
    void set_report(report_mode mode) { report_ = mode; }

    /// Text of the rate limit that all answers name from now on; empty: none. Not enforced here.
    void set_rate_limit(std::string text) { rate_limit_ = std::move(text); }
    [[nodiscard]] const std::string& rate_limit() const { return rate_limit_; }

    [[nodiscard]] bool cold() const { return cold_; }
    [[nodiscard]] const target_options& options() const { return options_; }
    /// Value of the response header `catkintally-load`.
    std::string load_report();

private:
    struct work
    {
        target_request request;
        core::time_point deadline;
        core::timer_id timer = 0;
    };

    void start(std::uint64_t handle);
    void finish(std::uint64_t handle);
    void start_queued();
    void refuse_cold(target_request request);
    [[nodiscard]] bool is_full() const;
    core::duration draw_service_time();
    std::string state_text() const;
    /// Schedules a callback that is dropped if the target crashes or is destroyed before.
    core::timer_id schedule(core::duration delay, std::function<void()> callback);

    target_options options_;
    core::timer_service& timers_;
    target_log& log_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, work> running_;
    std::map<std::uint64_t, work> waiting_;
    std::deque<std::uint64_t> queue_;
    std::map<std::uint64_t, core::timer_id> timers_in_use_;
    std::uint64_t next_handle_ = 1;
    std::uint64_t next_timer_ = 1;
    bool cold_ = false;
    bool down_ = false;
    bool draining_ = false;
    bool watched_ = false;
    bool shedding_ = false;
    bool failing_ = false;
    report_mode report_ = report_mode::honest;
    std::uint32_t successes_ = 0;
    double slow_factor_ = 1.0;
    core::time_point slow_until_{};
    core::time_point collapsed_until_{};
    core::time_point drained_at_{};
    bool close_next_ = false;
    std::string rate_limit_;
    std::string stale_report_;
    core::time_point stale_at_{};
};

} // namespace catkintally::stand_ins
