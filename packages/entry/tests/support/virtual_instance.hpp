#pragma once

#include "support/instance_fixture.hpp"
#include "support/loopback_barrier.hpp"
#include "support/plain_caller.hpp"

#include <catkintally/core/time/manual_timer_service.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::entry
{

/// Planned stop of an instance in virtual time.
struct virtual_stop
{
    std::chrono::milliseconds drain = std::chrono::milliseconds(300);
    /// Zero: the process is not killed.
    std::chrono::milliseconds grace = std::chrono::milliseconds(1'200);
    /// How long the store takes to hear that the instance leaves, and that it has left.
    std::chrono::milliseconds leave_time{};
    std::chrono::milliseconds remove_time{};
    /// False leaves the instance without a table.
    bool with_table = true;
};

/// An instance in virtual time with real sockets, one target and any number of callers. The target
/// answers each request with a body of its own, which `whole()` recognises.
class virtual_instance
{
public:
    explicit virtual_instance(virtual_stop stop = {});

    /// What the target does for the requests of a caller.
    struct work
    {
        core::duration time = std::chrono::milliseconds(5);
        std::size_t body_bytes = 2;
    };

    /// Adds a request to the fixture's books and returns its text with a new id.
    std::string request(
        const std::string& method,
        core::duration deadline = std::chrono::seconds(5),
        const std::string& extra = "",
        const std::string& body = "body",
        const std::string& version = "HTTP/1.1");
    /// Id of the request that request() has returned last.
    [[nodiscard]] const std::string& last_id() const { return ids_.back(); }

    /// Handles everything that is ready, without advancing time.
    void settle();
    /// Handles events without advancing time until the condition holds; a hang fails the test.
    void settle_until(const std::function<bool()>& condition);
    /// Advances time by steps of a millisecond and calls `each` after each. As the process ends
    /// once it has stopped, or is killed when its grace has passed, the instance is destroyed then.
    void run_for(
        core::duration time, const std::function<void()>& each = [] {});
    /// Advances until the instance has ended.
    void run_to_end(const std::function<void()>& each = [] {});
    /// Sends the stop signal.
    void stop();
    /// Time since the first stop signal.
    [[nodiscard]] core::duration since_stop() const { return timers.now() - stopped_at_; }
    /// Reads up to `bytes`. Once a part of an answer has arrived, waits for the rest without
    /// advancing virtual time, so that the rate does not depend on the kernel.
    void read_slowly(plain_caller& caller, std::size_t bytes);
    /// Reads until the connection has ended or `answers` responses are complete. Ends early if
    /// nothing can arrive any more.
    void read_all(plain_caller& caller, std::size_t answers);

    /// True if the target has received the request.
    [[nodiscard]] bool has_run(const std::string& id) const { return run.contains(id); }
    /// True if this is the target's complete answer to the request.
    [[nodiscard]] bool whole(const caller_answer& answer, const std::string& id) const;
    /// Checks the answers of a connection whose requests have these ids, in this order: what the
    /// target has received has the target's complete answer, and the rest, if answered, is said to
    /// be not run. Requests without an answer are allowed at the end if they have not run.
    void check_answers(const plain_caller& caller, const std::vector<std::string>& ids) const;

    runtime::event_loop loop;
    core::manual_timer_service timers;
    scripted_target target{loop, {}};
    std::unique_ptr<instance> self;
    std::uint16_t port = 0;
    virtual_stop plan;
    bool stopped = false;
    std::size_t stopped_calls = 0;
    /// Time from the stop signal to the end of the process.
    core::duration ended_after{};
    /// Work for the next requests that request() returns.
    work next_work;
    /// Requests that the target has received, with the number of times.
    std::map<std::string, int> run;
    /// When the target received them.
    std::map<std::string, core::time_point> run_at;
    /// Outcomes of requests that were reported to the fleet.
    std::vector<core::completion_outcome> outcomes;

private:
    void end_process();

    loopback_barrier barrier_;
    std::vector<std::string> ids_;
    std::map<std::string, work> work_;
    core::time_point stopped_at_{};
    bool stopping_ = false;
};

/// Text of a connection's end, for messages.
[[nodiscard]] const char* name_of(connection_end end);

} // namespace catkintally::entry
