#pragma once

#include <catkintally/wire/generated/messages.generated.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

using wire::work_class;

/// One service as operators edit it. Times are milliseconds, rates are per second.
struct service_row
{
    /// Unique name, 1 to 64 characters of [a-z0-9-].
    std::string name;
    /// Host header that selects the service, without port; empty matches every host.
    std::string host;
    /// Path prefix that selects the service; the longest match wins. Starts with '/'. Empty: only
    /// routes lead to the service.
    std::string path_prefix = "/";
    /// Scheduling class of its requests.
    work_class work = work_class::lookup;
    /// Methods that may be sent again after an unknown outcome.
    std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};
    /// Request header that carries the idempotency key; empty: the service has none.
    std::string idempotency_key_header;
    /// Requests that may wait at the owner.
    std::uint32_t queue_limit = 200;
    /// Requests that may wait at each warm target beyond its slots.
    std::uint32_t ahead = 1;
    /// Deadline of a request that names none, in milliseconds.
    std::uint32_t deadline_ms = 10'000;
    /// Retries as a percentage of admitted requests.
    std::uint32_t retry_budget_percent = 10;
    /// Probes a second for the whole service; 0 forbids probing.
    std::uint32_t probe_budget_per_s = 2;
    /// Path of the targets' health check.
    std::string health_path = "/healthz";
    /// Requests a second that a cold target can carry; 0: unknown.
    double warmup_requests_per_s = 0;
    /// Answer statuses by which a target says that it refused the request without running it.
    std::vector<std::uint16_t> not_run_statuses;
    /// How long an idempotency record is kept, in milliseconds.
    std::uint32_t key_retention_ms = 600'000;
    /// Largest accepted request body, in bytes.
    std::uint64_t max_body_bytes = 1'048'576;

    bool operator==(const service_row&) const = default;
};

} // namespace catkintally::core
