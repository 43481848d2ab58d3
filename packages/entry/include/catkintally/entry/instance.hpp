#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/entry/admin/admin_server.hpp>
#include <catkintally/entry/http/http_frontend.hpp>
#include <catkintally/entry/http/request_handler.hpp>
#include <catkintally/entry/targets/target_pool.hpp>
#include <catkintally/runtime/generated/settings.generated.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace catkintally::entry
{

/// What an instance needs from the fleet. Without hooks it refuses every request as not ready.
struct instance_hooks
{
    /// Grants places. The fields of an empty gateway are replaced by refusals.
    core::admission_gateway gateway;
    /// True while the instance is a member of the view and may take work.
    std::function<bool()> joined = [] { return false; };
    /// First step of a planned stop: the instance becomes a leaving member. Calls back once done.
    std::function<void(std::function<void()> left)> leave = [](const auto& left) { left(); };
    /// Last step: the instance removes itself from the view. Calls back once done.
    std::function<void(std::function<void()> removed)> remove = [](const auto& removed)
    { removed(); };
    /// How requests to targets are marked. Without a reader of loads the product's own marks are
    /// used.
    core::target_dialect dialect;
    /// Quotas of organisations.
    quota_hooks quota{};
};

/// One entry instance: callers' address, path, target connections and admin address. The table
/// comes in through apply_table(), grants through the hooks.
class instance
{
public:
    instance(
        runtime::event_loop& loop,
        core::timer_service& timers,
        const runtime::settings& values,
        instance_hooks hooks);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Binds both addresses; false, with an event, if one cannot be bound.
    [[nodiscard]] bool listen();

    /// Uses a new table revision.
    void apply_table(std::shared_ptr<const core::table_snapshot> table);

    /// Planned stop: fails the health check, leaves the fleet, closes the listener, finishes
    /// everything in flight and calls `stopped`. Requests that may outlast the grace of the
    /// settings are refused. Further calls are ignored.
    void stop(std::function<void()> stopped);

    /// True if new requests are welcome.
    [[nodiscard]] bool is_healthy() const;

    /// Connections to targets.
    [[nodiscard]] target_pool& targets() { return pool_; }

    /// Metrics of the process; parts add their series.
    [[nodiscard]] runtime::metrics_registry& metrics() { return metrics_; }

    /// Admin address; parts add their sections of the dump.
    [[nodiscard]] admin_server& admin() { return admin_; }

    /// Callers' address.
    [[nodiscard]] http_frontend& front() { return front_; }

private:
    void close_when_left();
    void finish_when_idle();
    void limit_requests();
    void end();
    void log_progress(const std::string& step) const;
    [[nodiscard]] core::duration time_to_end() const;
    void add_dump();

    core::timer_service& timers_;
    const runtime::settings settings_;
    instance_hooks hooks_;
    runtime::metrics_registry metrics_;
    const std::shared_ptr<body_budget> budget_;
    target_pool pool_;
    request_handler path_;
    http_frontend front_;
    admin_server admin_;
    std::uint64_t revision_ = 0;
    bool stopping_ = false;
    /// When all callers must have their answers, once a planned stop has begun.
    std::optional<core::time_point> answers_due_;
    /// Steps that must end before the listener closes: leaving the fleet and the drain time.
    int open_steps_ = 0;
    std::function<void()> stopped_;
    /// Callbacks into the hooks hold this, so that late ones find out that the instance is gone.
    std::shared_ptr<instance*> self_;
};

} // namespace catkintally::entry
