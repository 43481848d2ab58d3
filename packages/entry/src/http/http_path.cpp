#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/http/http_path.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace catkintally::entry
{

namespace
{

std::string text_of(core::request_id id)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << id;
    return out.str();
}

/// Time until the deadline. A caller may shorten the service's deadline but not extend it: recovery
/// waits for the service's longest deadline before it trusts a cold target. Nothing if unreadable.
std::optional<core::duration>
deadline_of(const caller_request& request, const std::string& name, std::uint32_t service_ms)
{
    const std::string* field = find_field(request.fields, name);
    if (field == nullptr)
    {
        return std::chrono::milliseconds(service_ms);
    }
    const auto wanted = parse_number(*field);
    if (!wanted)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min<std::uint64_t>(*wanted, service_ms));
}

/// Longest idempotency key. Every key costs memory at the owner and the witness.
constexpr std::size_t max_key_bytes = 256;

/// The idempotency key, empty if the service or the request has none. Nothing for a key that is
/// empty, too long or given twice.
std::optional<std::string> key_of(const caller_request& request, const std::string& header)
{
    std::optional<std::string> key;
    for (const auto& [name, value] : request.fields)
    {
        if (header.empty() || !equal_names(name, header))
        {
            continue;
        }
        if (key || value.empty() || value.size() > max_key_bytes)
        {
            return std::nullopt;
        }
        key = value;
    }
    return key.value_or("");
}

} // namespace

std::uint64_t request_fingerprint(const std::string& service, const caller_request& request)
{
    // FNV-1a with 64 bits.
    std::uint64_t hash = 0xcbf29ce484222325U;
    const auto add = [&hash](const std::string& text)
    {
        for (const unsigned char c : text)
        {
            hash = (hash ^ c) * 0x100000001b3U;
        }
        hash = (hash ^ 0xffU) * 0x100000001b3U;
    };
    add(service);
    add(request.method);
    add(request.uri);
    add(*request.body);
    return hash;
}

http_path::http_path(http_path_options options)
    : options_(std::move(options))
{
    options_.metrics->gauge(
        "catkintally_requests_in_flight", {}, [this] { return static_cast<double>(in_flight()); });
}

void http_path::apply_table(std::shared_ptr<const core::table_snapshot> table)
{
    router_ = core::router(std::move(table));
}

std::string http_path::next_request_id()
{
    const auto prefix = static_cast<core::request_id>(options_.id_prefix) << 32U;
    return text_of(prefix | ++next_id_);
}

void http_path::handle(caller_call& call)
{
    // Find the service.
    const caller_request& request = call.request();
    const core::service_config* config = router_.find(request.host, request.path);
    if (config == nullptr)
    {
        refuse(call, request_fault::no_service);
        return;
    }
    const core::service_row& service = config->service;
    if (request.body->size() > service.max_body_bytes)
    {
        refuse(call, request_fault::body_too_large);
        return;
    }
    const auto deadline = deadline_of(request, options_.deadline_header, service.deadline_ms);
    if (!deadline)
    {
        refuse(call, request_fault::bad_deadline);
        return;
    }

    // Plan the exchange.
    exchange_plan plan;
    plan.request_id = next_request_id();
    plan.deadline = *deadline;
    plan.not_run_statuses = service.not_run_statuses;
    core::admission_request& admission = plan.request;
    admission.id = (static_cast<core::request_id>(options_.id_prefix) << 32U) | next_id_;
    admission.service = service.name;
    admission.instance = options_.instance;
    admission.failure_domain = options_.failure_domain;
    admission.fingerprint = request_fingerprint(service.name, request);
    const auto& methods = service.idempotent_methods;
    admission.idempotent =
        std::find(methods.begin(), methods.end(), request.method) != methods.end();
    if (!admission.idempotent)
    {
        // A key protects requests that must not run twice; an idempotent one needs no record.
        auto key = key_of(request, service.idempotency_key_header);
        if (!key)
        {
            refuse(call, request_fault::bad_key);
            return;
        }
        admission.key = std::move(*key);
    }

    // Run it.
    const core::request_id id = admission.id;
    auto added = std::make_shared<exchange>(
        exchange_context{
            .timers = options_.timers,
            .gateway = options_.gateway,
            .pool = options_.pool,
            .deadline_header = options_.deadline_header},
        call, std::move(plan),
        [this, id, name = service.name](const exchange_summary& summary)
        {
            record(name, summary);
            running_.erase(id);
        });
    running_.emplace(id, added);
    added->start();
}

void http_path::refuse(caller_call& call, request_fault fault)
{
    options_.metrics
        ->counter(
            "catkintally_requests_invalid_total", {{"reason", std::string(fault_name(fault))}})
        .add();
    caller_reply response = make_reply(
        {.status = fault_status(fault),
         .claim = core::run_claim::not_run,
         .reason = std::string(fault_name(fault))},
        next_request_id());
    response.close = fault != request_fault::no_service;
    call.reply(response);
}

void http_path::record(const std::string& service, const exchange_summary& summary)
{
    service_metrics& metrics = services_[service];
    if (metrics.total == nullptr)
    {
        const runtime::metric_labels labels = {{"service", service}};
        metrics.total = &options_.metrics->latency("catkintally_request_seconds", labels);
        metrics.added = &options_.metrics->latency("catkintally_added_seconds", labels);
    }
    runtime::metric_counter*& requests = metrics.requests[summary.reason];
    if (requests == nullptr)
    {
        requests = &options_.metrics->counter(
            "catkintally_requests_total", {{"service", service}, {"result", summary.reason}});
    }
    requests->add();
    metrics.total->add(summary.total);
    if (summary.reason == "answered")
    {
        metrics.added->add(summary.total - summary.at_target);
    }
}

} // namespace catkintally::entry
