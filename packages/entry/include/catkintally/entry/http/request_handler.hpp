#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/fleet/admission_gateway.hpp>
#include <catkintally/core/organisations/organisation_directory.hpp>
#include <catkintally/core/routing/router.hpp>
#include <catkintally/entry/http/exchange.hpp>
#include <catkintally/entry/http/organisation_check.hpp>
#include <catkintally/entry/http/organisation_metrics.hpp>
#include <catkintally/entry/http/quota_gate.hpp>
#include <catkintally/entry/http/request_check.hpp>
#include <catkintally/runtime/metrics/metrics_registry.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Identity and dependencies of the request handler. Pointers must outlive it.
struct request_handler_options
{
    std::string instance;
    std::string failure_domain;
    std::string deadline_header = "catkintally-deadline-ms";
    core::target_dialect dialect;
    /// High half of all request ids of this process; random per process.
    std::uint32_t id_prefix = 0;
    core::timer_service* timers = nullptr;
    const core::admission_gateway* gateway = nullptr;
    target_pool* pool = nullptr;
    runtime::metrics_registry* metrics = nullptr;
    /// See exchange_context.
    std::function<core::duration()> time_to_end{};
    /// Quotas of organisations.
    quota_hooks quota{};
};

/// Handles valid requests from callers: finds the route, chooses one of its services by weight,
/// reads deadline and idempotency key, and runs one exchange for each request.
class request_handler
{
public:
    explicit request_handler(request_handler_options options);

    /// Routes all requests that arrive from now on by this table revision. If its routes or
    /// organisations have changed, requests that have not been sent to a target are checked again.
    void apply_table(std::shared_ptr<const core::table_snapshot> table);

    /// Handles one request; `call` is replied to exactly once.
    void handle(pending_request& call);

    /// True if the table in force has a route for the request.
    [[nodiscard]] bool has_route(const caller_request& request) const
    {
        return router_ && router_->find(request.host, request.path) != nullptr;
    }

    /// A planned stop begins: refuses the waiting requests that may outlast the process.
    void begin_stop();

    /// Answers all requests now, because the process is about to be killed.
    void end_all();

    /// Next request id: 16 hexadecimal digits, as used in headers.
    [[nodiscard]] std::string next_request_id();

    /// Organisations in force.
    [[nodiscard]] const core::organisation_directory& organisations() const
    {
        return organisations_;
    }

    /// Number of requests that have not ended.
    [[nodiscard]] std::size_t in_flight() const { return exchanges_.size() + gate_.waiting(); }

private:
    struct service_metrics
    {
        runtime::latency_histogram* total = nullptr;
        runtime::latency_histogram* added = nullptr;
        std::map<std::string, runtime::metric_counter*> requests;
    };

    void refuse(pending_request& call, request_error error);
    void refuse_not_ready(pending_request& call);
    void refuse_key(pending_request& call, key_error error);
    [[nodiscard]] refusal refusal_of(key_error error) const;
    /// Why the newest table does not let a request through any more, if so. Costs nothing while
    /// neither routes nor organisations change.
    [[nodiscard]] std::optional<refusal>
    changed_access(const caller_request& request, const exchange_plan& plan) const;
    [[nodiscard]] core::request_id next_id();
    [[nodiscard]] const core::service_config* choose_service(const core::route_row& route);
    [[nodiscard]] std::vector<std::shared_ptr<exchange>> current_exchanges() const;
    /// Starts the exchange once the organisation's quota admits it.
    void admit(pending_request& call, const exchange_plan& plan, const std::string& route);
    void start_exchange(pending_request& call, const exchange_plan& plan, const std::string& route);
    void record_outcome(
        const exchange_plan& plan, const std::string& route, const exchange_summary& summary);

    request_handler_options options_;
    quota_gate gate_;
    std::optional<core::router> router_;
    core::organisation_directory organisations_;
    organisation_metrics organisation_metrics_;
    /// Number of changes of the routes or the organisations.
    std::uint64_t access_version_ = 0;
    core::split_mix random_;
    std::uint32_t next_id_ = 0;
    std::map<core::request_id, std::shared_ptr<exchange>> exchanges_;
    std::map<std::string, service_metrics> metrics_by_service_;
};

/// 64-bit FNV-1a hash of host, method, URI and body, by which a request that crashes targets is
/// recognised. It is the same on every instance, and whichever service the request is sent to.
[[nodiscard]] std::uint64_t request_fingerprint(const caller_request& request);

} // namespace catkintally::entry
