#include <catkintally/core/table/endpoint.hpp>
#include <catkintally/entry/process/target_prober.hpp>
#include <catkintally/entry/targets/load_field.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::entry
{

namespace
{

/// A probe takes about 6 ms; a target that needs longer than this is not fit for work.
constexpr auto probe_deadline = std::chrono::milliseconds(500);

core::completion_outcome outcome_of(const runtime::http_response& response)
{
    switch (response.outcome)
    {
    case runtime::http_outcome::answered:
        return response.status < 500 ? core::completion_outcome::answered
                                     : core::completion_outcome::answered_error;
    case runtime::http_outcome::not_connected:
        return core::completion_outcome::not_run;
    case runtime::http_outcome::no_answer:
        return core::completion_outcome::timed_out;
    }
    return core::completion_outcome::timed_out;
}

} // namespace

target_prober::target_prober(
    runtime::event_loop& loop, core::timer_service& timers, report_hook report)
    : timers_(timers)
    , client_(loop, timers)
    , report_(std::move(report))
{
}

void target_prober::apply_table(std::shared_ptr<const core::table_snapshot> table)
{
    table_ = std::move(table);
}

void target_prober::probe(const std::string& service, const std::string& target)
{
    if (table_ == nullptr || !table_->services.contains(service))
    {
        return;
    }
    const auto& rows = table_->services.at(service).targets;
    const auto row = std::find_if(
        rows.begin(), rows.end(), [&](const auto& each) { return each.name == target; });
    const auto address = row == rows.end() ? std::nullopt : core::parse_endpoint(row->address);
    if (!address)
    {
        return;
    }

    ++sent_;
    runtime::http_request request;
    request.address = *address;
    request.target = "/healthz";
    request.deadline = probe_deadline;
    request.idempotent = true;
    client_.call(
        std::move(request),
        [this, service, target, sent_at = timers_.now()](const runtime::http_response& response)
        {
            core::completion_report report;
            report.service = service;
            report.target = target;
            report.outcome = outcome_of(response);
            report.status = static_cast<std::uint16_t>(response.status);
            report.service_time = timers_.now() - sent_at;
            report.load = load_of(response.headers);
            report_(report);
        });
}

} // namespace catkintally::entry
