#pragma once

#include <catkintally/bench/policy/workload.hpp>

#include <deque>
#include <functional>
#include <list>

namespace catkintally::bench
{

/// A target in virtual time: a few slots, a first-in-first-out queue before them, and slow windows.
/// A request that reaches its deadline is cancelled, waiting or running.
class fake_target
{
public:
    /// Called at the end of a request; false if it was cancelled at its deadline.
    using done_hook = std::function<void(bool answered)>;

    /// `timers` and `windows` must outlive the target.
    fake_target(
        core::timer_service& timers, std::uint32_t slots, const std::vector<slow_window>& windows);

    /// Takes in one request.
    void submit(core::duration work, core::time_point deadline, done_hook done);

    [[nodiscard]] bool slow() const { return slow_; }
    [[nodiscard]] bool has_free_slot() const { return running_.size() < slots_; }

private:
    struct job
    {
        double work_left_us = 0;
        core::time_point deadline{};
        done_hook done;
        /// When work_left_us was last brought up to date.
        core::time_point since{};
        core::timer_id timer = 0;
    };

    /// Runs the job until the earlier of its end and its deadline.
    void start(std::list<job>::iterator running);
    void finish(std::list<job>::iterator running);
    void set_slow(bool slow);
    [[nodiscard]] double speed() const { return slow_ ? 0.25 : 1.0; }

    core::timer_service* timers_;
    std::uint32_t slots_;
    bool slow_ = false;
    std::list<job> running_;
    std::deque<job> waiting_;
};

} // namespace catkintally::bench
