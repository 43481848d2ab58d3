#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/http/request_handler.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace catkintally::entry
{

namespace
{

std::string format_request_id(core::request_id id)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << id;
    return out.str();
}

/// Time until the deadline. A caller may shorten the longest time but not extend it: recovery waits
/// for the service's longest deadline before it trusts a cold target. Empty if the field is not a
/// number.
std::optional<core::duration>
deadline_of(const caller_request& request, const std::string& name, core::duration longest)
{
    const std::string* field = find_field(request.fields, name);
    if (field == nullptr)
    {
        return longest;
    }
    const auto requested_ms = parse_number(*field);
    if (!requested_ms)
    {
        return std::nullopt;
    }
    constexpr std::uint64_t max_ms = 86'400'000;
    return std::min<core::duration>(
        std::chrono::milliseconds(std::min(*requested_ms, max_ms)), longest);
}

/// Retry-After while no table is loaded. An instance that starts has one within this time.
constexpr auto not_ready_retry_after = std::chrono::milliseconds(300);

/// Maximum size of an idempotency key, since every key takes memory at the owner and the witness.
constexpr std::size_t max_key_bytes = 256;

/// The idempotency key; an empty string if the service or the request has none, no value if the key
/// is empty, too long or given twice.
std::optional<std::string>
idempotency_key_of(const caller_request& request, const std::string& header)
{
    std::optional<std::string> key;
    for (const auto& [name, value] : request.fields)
    {
        if (header.empty() || !equals_ignore_case(name, header))
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

std::uint64_t request_fingerprint(const caller_request& request)
{
    // 64-bit FNV-1a; 0xff ends each field.
    std::uint64_t hash = 0xcbf29ce484222325U;
    const auto add = [&hash](const std::string& text)
    {
        for (const unsigned char c : text)
        {
            hash = (hash ^ c) * 0x100000001b3U;
        }
        hash = (hash ^ 0xffU) * 0x100000001b3U;
    };
    add(core::normalized_host(request.host));
    add(request.method);
    add(request.uri);
    add(*request.body);
    return hash;
}

request_handler::request_handler(request_handler_options options)
    : options_(std::move(options))
    , gate_(*options_.timers, options_.quota)
    , organisation_metrics_(*options_.metrics)
    , random_(options_.id_prefix)
{
    options_.metrics->gauge(
        "catkintally_requests_in_flight", {}, [this] { return static_cast<double>(in_flight()); });
}

void request_handler::apply_table(std::shared_ptr<const core::table_snapshot> table)
{
    const bool new_routes = !router_ || router_->table()->routes != table->routes;
    const bool new_organisations = organisations_.apply(table->organisations);
    router_.emplace(std::move(table));
    if (!new_routes && !new_organisations)
    {
        return;
    }
    ++access_version_;
    for (const auto& each : current_exchanges())
    {
        each->recheck();
    }
}

std::string request_handler::next_request_id()
{
    return format_request_id(next_id());
}

core::request_id request_handler::next_id()
{
    return (static_cast<core::request_id>(options_.id_prefix) << 32U) | ++next_id_;
}

const core::service_config* request_handler::choose_service(const core::route_row& route)
{
    double total = 0;
    for (const core::route_destination& each : route.destinations)
    {
        total += each.weight;
    }
    // The second factor is uniformly distributed over [0, 1).
    double left = total * (static_cast<double>(random_.next() >> 11U) * 0x1.0p-53);
    for (const core::route_destination& each : route.destinations)
    {
        left -= each.weight;
        if (left < 0)
        {
            return router_->service(each.service);
        }
    }
    return route.destinations.empty() ? nullptr
                                      : router_->service(route.destinations.back().service);
}

void request_handler::handle(pending_request& call)
{
    if (!router_)
    {
        refuse_not_ready(call);
        return;
    }
    const caller_request& request = call.request();
    const core::route_row* route = router_->find(request.host, request.path);
    const core::service_config* config = route == nullptr ? nullptr : choose_service(*route);
    if (config == nullptr)
    {
        refuse(call, request_error::no_service);
        return;
    }
    const caller_access access =
        check_access(organisations_, options_.dialect, *route, request.fields);
    if (access.error)
    {
        refuse_key(call, *access.error);
        return;
    }
    const core::service_row& service = config->service;
    if (request.body->size() > service.max_body_bytes)
    {
        refuse(call, request_error::body_too_large);
        return;
    }
    const auto longest = route->time_limit > core::duration::zero()
                             ? route->time_limit
                             : core::duration(std::chrono::milliseconds(service.deadline_ms));
    const auto deadline = deadline_of(request, options_.deadline_header, longest);
    if (!deadline)
    {
        refuse(call, request_error::bad_deadline);
        return;
    }

    exchange_plan plan;
    plan.request_id = next_request_id();
    if (const std::string* given = find_field(request.fields, options_.dialect.request_id_header);
        given != nullptr && options_.dialect.callers_set_request_id)
    {
        plan.request_id = *given;
    }
    plan.deadline = *deadline;
    plan.access_version = access_version_;
    plan.latency_objective = route->latency_objective;
    plan.max_attempts = route->max_attempts;
    plan.not_run_statuses = service.not_run_statuses;
    core::admission_request& admission = plan.request;
    admission.id = (static_cast<core::request_id>(options_.id_prefix) << 32U) | next_id_;
    admission.trace_id = plan.request_id;
    admission.service = service.name;
    admission.instance = options_.instance;
    admission.failure_domain = options_.failure_domain;
    admission.fingerprint = request_fingerprint(request);
    admission.body_bytes = request.body->size();
    admission.priority = route->priority;
    if (access.organisation != nullptr)
    {
        admission.organisation = access.organisation->name;
        admission.priority = access.organisation->priority.value_or(route->priority);
        organisation_metrics_.add_request(admission.organisation);
    }
    if (organisations_.requires_keys())
    {
        plan.api_key_header = options_.dialect.api_key_header;
        plan.organisation_header = options_.dialect.organisation_header;
    }
    const auto& methods = service.idempotent_methods;
    admission.idempotent = route->idempotent.value_or(
        std::find(methods.begin(), methods.end(), request.method) != methods.end());
    if (!admission.idempotent)
    {
        // A key prevents a second execution; an idempotent request needs no record for that.
        auto key = idempotency_key_of(request, service.idempotency_key_header);
        if (!key)
        {
            refuse(call, request_error::bad_key);
            return;
        }
        admission.key = std::move(*key);
    }
    admit(call, plan, route->name);
}

void request_handler::admit(
    pending_request& call, const exchange_plan& plan, const std::string& route)
{
    const auto refuse = [this, &call, plan, route](const refusal& refused)
    {
        call.reply(
            make_response(refused, plan.request_id, options_.dialect.fractional_retry_after));
        exchange_summary summary;
        summary.status = refused.status;
        summary.reason = refused.reason;
        record_outcome(plan, route, summary);
    };
    gate_.enter(
        call, plan.request.organisation, plan.latency_objective / 2,
        {.start =
             [this, &call, plan, route](core::duration waited)
         {
             exchange_plan started = plan;
             started.deadline -= waited;
             // Zero would mean that the objective is unknown.
             started.latency_objective -= std::min(waited, plan.latency_objective / 2);
             start_exchange(call, started, route);
         },
         .refuse =
             [refuse](core::duration retry_after)
         {
             refuse(
                 {.status = 429,
                  .claim = core::run_claim::not_run,
                  .reason = "refused_quota",
                  .retry_after = retry_after});
         },
         .give_up =
             [refuse]
         {
             refuse(
                 {.status = 503,
                  .claim = core::run_claim::not_run,
                  .reason = "stopping",
                  .retry_after = not_ready_retry_after});
         }});
}

void request_handler::start_exchange(
    pending_request& call, const exchange_plan& plan, const std::string& route)
{
    const core::request_id id = plan.request.id;
    const exchange_context context{
        .timers = options_.timers,
        .gateway = options_.gateway,
        .pool = options_.pool,
        .dialect = &options_.dialect,
        .deadline_header = options_.deadline_header,
        .time_to_end = options_.time_to_end,
        .denied = [this](const caller_request& request, const exchange_plan& asked)
        { return changed_access(request, asked); },
        .next_grant_id = [this] { return next_id(); }};
    auto new_exchange = std::make_shared<exchange>(
        context, call, plan,
        [this, id, plan, route](const exchange_summary& summary)
        {
            record_outcome(plan, route, summary);
            if (options_.quota.ended && !plan.request.organisation.empty())
            {
                options_.quota.ended(plan.request.organisation, summary);
            }
            exchanges_.erase(id);
        });
    exchanges_.emplace(id, new_exchange);
    new_exchange->start();
}

std::vector<std::shared_ptr<exchange>> request_handler::current_exchanges() const
{
    std::vector<std::shared_ptr<exchange>> current;
    for (const auto& [id, each] : exchanges_)
    {
        current.push_back(each);
    }
    return current;
}

void request_handler::begin_stop()
{
    for (const auto& each : current_exchanges())
    {
        each->recheck();
    }
}

void request_handler::end_all()
{
    gate_.give_up_all();
    for (const auto& each : current_exchanges())
    {
        each->end_now();
    }
}

void request_handler::refuse_not_ready(pending_request& call)
{
    // Without a table it is unknown whether the request has a service, so this is not a 404.
    const std::string* given =
        find_field(call.request().fields, options_.dialect.request_id_header);
    log_event(
        runtime::event_id::request_refused, {{"request", given == nullptr ? "" : *given},
                                             {"reason", "not_ready"},
                                             {"host", call.request().host},
                                             {"path", call.request().path}});
    call.reply(make_response(
        {.status = 503,
         .claim = core::run_claim::not_run,
         .reason = "not_ready",
         .retry_after = not_ready_retry_after},
        next_request_id(), options_.dialect.fractional_retry_after));
}

void request_handler::refuse(pending_request& call, request_error error)
{
    options_.metrics
        ->counter(
            "catkintally_requests_invalid_total",
            {{"reason", std::string(request_error_name(error))}})
        .add();
    const std::string id = next_request_id();
    log_event(
        runtime::event_id::request_refused, {{"request", id},
                                             {"reason", std::string(request_error_name(error))},
                                             {"host", call.request().host},
                                             {"path", call.request().path}});
    caller_response response = make_response(
        {.status = request_error_status(error),
         .claim = core::run_claim::not_run,
         .reason = std::string(request_error_name(error))},
        id);
    response.close = error != request_error::no_service;
    call.reply(response);
}

void request_handler::record_outcome(
    const exchange_plan& plan, const std::string& route, const exchange_summary& summary)
{
    const std::string& service = plan.request.service;
    const auto ms_text = [](core::duration time)
    { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
    log_event(
        runtime::event_id::request_ended, {{"request", plan.request_id},
                                           {"route", route},
                                           {"organisation", plan.request.organisation},
                                           {"service", service},
                                           {"status", std::to_string(summary.status)},
                                           {"reason", summary.reason},
                                           {"target", summary.target},
                                           {"sendings", std::to_string(summary.attempts)},
                                           {"total_ms", ms_text(summary.total)},
                                           {"target_ms", ms_text(summary.target_time)},
                                           {"limit_ms", ms_text(plan.deadline)}});
    if (summary.status == unauthorized_status && summary.reason != "answered")
    {
        organisation_metrics_.add_refused(summary.reason);
    }
    service_metrics& metrics = metrics_by_service_[service];
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
        metrics.added->add(summary.total - summary.target_time);
    }
}

} // namespace catkintally::entry
