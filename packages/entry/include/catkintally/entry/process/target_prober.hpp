#pragma once

#include <catkintally/core/admission/probe_report.hpp>
#include <catkintally/core/table/table_snapshot.hpp>
#include <catkintally/entry/targets/target_pool.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace catkintally::entry
{

/// Fixed inputs of a target_prober. Pointers must outlive it.
struct target_prober_options
{
    core::timer_service* timers = nullptr;
    /// Connections that requests use, too: a probe shows that the connection works.
    std::function<target_pool&()> pool;
    const core::target_dialect* dialect = nullptr;
};

/// Sends single health checks to targets. The admission policy decides when.
class target_prober
{
public:
    using report_hook = std::function<void(core::probe_report)>;

    explicit target_prober(target_prober_options options);
    ~target_prober();
    target_prober(const target_prober&) = delete;
    target_prober& operator=(const target_prober&) = delete;

    /// Sends one GET to the health path of the target. `done` is called once, from the loop.
    void probe(const core::service_row& service, const core::target_row& target, report_hook done);

    /// Opens a new connection to the target and sends nothing on it. `ended` is called once, from
    /// the loop, with whether the connection stands.
    void try_connect(const core::target_row& target, std::function<void(bool)> ended);

    /// Probes sent since the start.
    [[nodiscard]] std::uint64_t sent() const { return sent_; }

private:
    struct pending_probe
    {
        dispatch_id dispatch = 0;
        core::time_point sent_at{};
        core::timer_id timer = 0;
        report_hook done;
    };

    void finish(std::uint64_t id, const dispatch_end& end);
    [[nodiscard]] core::probe_report read(const dispatch_end& end) const;

    target_prober_options options_;
    std::uint64_t sent_ = 0;
    std::map<std::uint64_t, pending_probe> pending_;
};

} // namespace catkintally::entry
