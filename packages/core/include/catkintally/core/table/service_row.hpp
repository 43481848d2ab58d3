#pragma once

#include <catkintally/wire/generated/messages.generated.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

using wire::work_class;

/// Table row of one service, as edited by operators. Times are in milliseconds, rates per second.
struct service_row
{
    /// Unique name, 1 to 64 characters of [a-z0-9-].
    std::string name;
    /// Host header that selects the service, without port; empty matches every host.
    std::string host;
    /// Path prefix that selects the service; the longest matching prefix wins. Starts with '/'.
    /// Empty: the service is reached only through routes.
    std::string path_prefix = "/";
    /// Scheduling class of the service's requests.
    work_class work = work_class::lookup;
    /// Methods whose requests may be retried after an unknown outcome.
    std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};
    /// Request header that carries the idempotency key. Empty: the service uses no keys.
    std::string idempotency_key_header;
    /// Maximum number of requests queued at the service's owner instance.
    std::uint32_t queue_limit = 200;
    /// Requests that may be sent to each warm target beyond its slots and wait there.
    std::uint32_t ahead = 1;
    /// Deadline in milliseconds of requests that do not set one.
    std::uint32_t deadline_ms = 10'000;
    /// Retry budget as a percentage of admitted requests.
    std::uint32_t retry_budget_percent = 10;
    /// Probes per second for the whole service; 0 disables probing.
    std::uint32_t probe_budget_per_s = 2;
    /// Path of the targets' health check.
    std::string health_path = "/healthz";
    /// Requests per second that a cold target can handle. 0: unknown.
    double warmup_requests_per_s = 0;
    /// Response statuses by which a target reports that it rejected a request without running it.
    std::vector<std::uint16_t> not_run_statuses;
    /// Retention time of idempotency records, in milliseconds.
    std::uint32_t key_retention_ms = 600'000;
    /// Largest request body that is accepted, in bytes.
    std::uint64_t max_body_bytes = 1'048'576;

    bool operator==(const service_row&) const = default;
};

} // namespace catkintally::core
