#pragma once

#include <catkintally/core/admission/completion_report.hpp>
#include <catkintally/core/table/table_snapshot.hpp>
#include <catkintally/runtime/http/http_client.hpp>

#include <functional>
#include <memory>
#include <string>

namespace catkintally::entry
{

/// Sends single health probes to targets. The admission policy decides when; see probe_budget.
class target_prober
{
public:
    using report_hook = std::function<void(const core::completion_report&)>;

    /// `loop` and `timers` must outlive this object.
    target_prober(runtime::event_loop& loop, core::timer_service& timers, report_hook report);

    /// Takes over the addresses of a table revision.
    void apply_table(std::shared_ptr<const core::table_snapshot> table);

    /// Sends one GET /healthz to the target; ignored if the table does not list it.
    void probe(const std::string& service, const std::string& target);

    /// Probes sent since the start.
    [[nodiscard]] std::uint64_t sent() const { return sent_; }

private:
    core::timer_service& timers_;
    runtime::http_client client_;
    report_hook report_;
    std::shared_ptr<const core::table_snapshot> table_;
    std::uint64_t sent_ = 0;
};

} // namespace catkintally::entry
