#pragma once

#include <catkintally/entry/targets/target_connection.hpp>
#include <catkintally/entry/targets/unknown_header_log.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Identifies one dispatch; 0 is never issued.
using dispatch_id = std::uint64_t;

/// Pool of connections to all targets, reused for further requests and limited per target.
class target_pool
{
public:
    target_pool(
        runtime::event_loop& loop,
        core::timer_service& timers,
        target_limits limits,
        runtime::metrics_registry& metrics);
    ~target_pool();
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;

    /// Sends a request to "IP:port". `done` is called once from the event loop, never before
    /// dispatch() returns.
    dispatch_id dispatch(const std::string& address, target_request request, dispatch_hook done);

    /// True if bytes of the request may have reached the target.
    [[nodiscard]] bool is_sent(dispatch_id id) const;

    /// True if the target's machine has acknowledged the whole request.
    [[nodiscard]] bool is_delivered(dispatch_id id) const;

    /// Ends a dispatch by closing its connection, so that a late answer is not received. The hook
    /// is not called. Unknown ids are ignored.
    void abandon(dispatch_id id);

    /// True if the dispatch has ended and its callback is about to be called.
    [[nodiscard]] bool has_ended(dispatch_id id) const;

    /// Notes that a target has refused a request. If it is sent there again, it gets a connection
    /// of its own, on which the target cannot repeat the refusal.
    void note_refusal(const std::string& address, const std::string& request);

    /// Number of open connections to a target, busy and idle.
    [[nodiscard]] std::size_t open_connections(const std::string& address) const;

private:
    using connection_ptr = std::unique_ptr<target_connection>;
    struct active_dispatch
    {
        std::string address;
        target_request request;
        dispatch_hook done;
        connection_ptr connection;
        core::timer_id start_timer = 0;
    };
    struct target_state
    {
        std::size_t busy = 0;
        std::vector<connection_ptr> idle;
        /// Time at which a lost answer was last logged.
        std::optional<core::time_point> last_logged;
        /// Ids of the last requests that the target has refused, oldest first.
        std::deque<std::string> refused;
    };

    void start(dispatch_id id);
    void end(dispatch_id id, dispatch_end result);
    connection_ptr take_idle(target_state& state);
    [[nodiscard]] static bool
    needs_new_connection(const target_state& state, const target_request& request);
    void retire(connection_ptr connection);
    void log_lost(const std::string& address, target_state& state, const std::string& detail);
    void close_stale();

    runtime::event_loop& loop_;
    core::timer_service& timers_;
    const target_limits limits_;
    runtime::metric_counter& opened_;
    runtime::metric_counter& reused_;
    runtime::metric_counter& closed_;
    unknown_header_log unknown_headers_;
    dispatch_id next_id_ = 1;
    std::map<dispatch_id, active_dispatch> active_;
    std::map<std::string, target_state> targets_;
    std::vector<connection_ptr> retired_;
    core::timer_id close_stale_timer_ = 0;
    core::timer_id retire_timer_ = 0;
};

} // namespace catkintally::entry
