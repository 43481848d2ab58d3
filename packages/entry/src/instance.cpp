#include <catkintally/entry/instance.hpp>
#include <catkintally/entry/process/organisation_dump.hpp>
#include <catkintally/entry/targets/load_field.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace catkintally::entry
{

namespace
{

using std::chrono::milliseconds;

/// How often a stopping instance checks whether everything in flight has ended.
constexpr auto idle_check_interval = milliseconds(10);

/// Parts of the grace that are left when the last answers are written, and when the process ends.
/// The grace began before this process saw the signal, and a process with a tenth of a core may run
/// a timer some hundred milliseconds late.
constexpr int answer_margin_divisor = 12;
constexpr int end_margin_divisor = 24;

/// Part of the memory that bodies may take. A growing string holds up to three times its size for a
/// moment, and connections and tables need their room.
constexpr std::uint64_t body_memory_divisor = 4;
constexpr std::uint64_t bytes_per_mb = 1'048'576;

/// Gateway of an instance without a fleet.
core::admission_gateway or_refusals(core::admission_gateway gateway)
{
    if (!gateway.ask)
    {
        // The default answer is a refusal without an owner's confirmation.
        gateway.ask = [](const auto&, const auto& answer)
        {
            core::admission_answer refused;
            refused.code = core::decision_code::refused_not_ready;
            answer(std::move(refused));
        };
        gateway.cancel = [](core::request_id) {};
        gateway.may_send = [](core::request_id) { return false; };
        gateway.complete = [](const auto&, const auto&) {};
    }
    return gateway;
}

instance_hooks with_defaults(instance_hooks hooks)
{
    hooks.gateway = or_refusals(std::move(hooks.gateway));
    if (!hooks.dialect.load)
    {
        hooks.dialect.load = parse_load_field;
    }
    return hooks;
}

target_limits limits_of(
    const runtime::targets_settings& values,
    const core::target_dialect& dialect,
    std::shared_ptr<body_budget> budget)
{
    return {
        .connections = values.connections,
        .connect_time = milliseconds(values.connect_time_ms),
        .idle_time = milliseconds(values.idle_time_ms),
        .unacknowledged_time = milliseconds(values.unacknowledged_time_ms),
        .header_bytes = values.header_bytes,
        .body_bytes = values.body_bytes,
        .close_delimited = dialect.close_delimited_responses,
        .known_headers = dialect.known_response_headers,
        .budget = std::move(budget)};
}

/// Calls `done` once, when told so or after `limit`, whichever comes first.
std::function<void()>
call_within(core::timer_service& timers, core::duration limit, std::function<void()> done)
{
    auto shared = std::make_shared<std::function<void()>>(std::move(done));
    const auto once = [shared]
    {
        if (auto call = std::exchange(*shared, nullptr))
        {
            call();
        }
    };
    timers.schedule_after(limit, once);
    return once;
}

} // namespace

instance::instance(
    runtime::event_loop& loop,
    core::timer_service& timers,
    const runtime::settings& values,
    instance_hooks hooks)
    : timers_(timers)
    , settings_(values)
    , hooks_(with_defaults(std::move(hooks)))
    , budget_(std::make_shared<body_budget>(
          values.instance.memory_mb * bytes_per_mb / body_memory_divisor))
    , pool_(loop, timers, limits_of(values.targets, hooks_.dialect, budget_), metrics_)
    , path_(request_handler_options{
          .instance = values.instance.id,
          .failure_domain = values.instance.failure_domain,
          .deadline_header = values.callers.deadline_header,
          .dialect = hooks_.dialect,
          .id_prefix = std::random_device()(),
          .timers = &timers,
          .gateway = &hooks_.gateway,
          .pool = &pool_,
          .metrics = &metrics_,
          .time_to_end = [this] { return time_to_end(); },
          .quota = hooks_.quota})
    , front_(
          loop,
          timers,
          http_frontend_options{
              .address = values.callers.address,
              .limits =
                  {.header_bytes = values.callers.header_bytes,
                   .body_bytes = values.callers.body_bytes,
                   .idle_time = milliseconds(values.callers.idle_time_ms),
                   .request_time = milliseconds(values.callers.request_time_ms)},
              .handle = [this](pending_request& call) { path_.handle(call); },
              .healthy = [this] { return is_healthy(); },
              .is_health_check = [this](const caller_request& request)
              { return settings_.admin.health_addresses.empty() && !path_.has_route(request); },
              .next_request_id = [this] { return path_.next_request_id(); },
              .metrics = &metrics_,
              .budget = budget_,
              .fractional_retry_after = hooks_.dialect.fractional_retry_after})
    , admin_(loop, metrics_, values.admin.health_path, [this] { return is_healthy(); })
    , self_(std::make_shared<instance*>(this))
{
    add_dump();
    metrics_.gauge(
        "catkintally_body_bytes", {},
        [this] { return static_cast<double>(budget_->reserved_bytes()); });
    metrics_.gauge(
        "catkintally_bodies_refused", {},
        [this] { return static_cast<double>(budget_->refused()); });
}

instance::~instance()
{
    *self_ = nullptr;
}

bool instance::listen()
{
    const auto report = [](bool listening, const std::string& address)
    {
        if (!listening)
        {
            log_event(runtime::event_id::listen_failed, {{"address", address}});
        }
        return listening;
    };
    std::vector<std::string> operators = {settings_.admin.address};
    const auto& health = settings_.admin.health_addresses;
    operators.insert(operators.end(), health.begin(), health.end());
    const bool all =
        report(front_.listen(), settings_.callers.address) &&
        std::all_of(
            operators.begin(), operators.end(),
            [&](const std::string& address) { return report(admin_.listen(address), address); });
    if (!all)
    {
        return false;
    }
    log_event(
        runtime::event_id::process_started, {{"instance", settings_.instance.id},
                                             {"callers_port", std::to_string(front_.port())},
                                             {"admin_port", std::to_string(admin_.port())}});
    return true;
}

void instance::apply_table(std::shared_ptr<const core::table_snapshot> table)
{
    revision_ = table->revision;
    if (table->limits)
    {
        front_.set_limits(*table->limits);
    }
    path_.apply_table(std::move(table));
}

bool instance::is_healthy() const
{
    return !stopping_ && hooks_.joined();
}

void instance::stop(std::function<void()> stopped)
{
    if (stopping_)
    {
        return;
    }
    log_event(runtime::event_id::process_stopping);
    stopping_ = true;
    stopped_ = std::move(stopped);
    front_.begin_drain();
    limit_requests();

    // The listener stays open until the platform's balancer has seen the failing health check and
    // the fleet knows that this instance leaves. The store may be down; that wait is limited.
    open_steps_ = 2;
    const auto step = [self = self_]
    {
        if (*self != nullptr)
        {
            (*self)->close_when_left();
        }
    };
    timers_.schedule_after(milliseconds(settings_.stop.drain_ms), step);
    hooks_.leave(call_within(timers_, milliseconds(settings_.stop.stop_limit_ms), step));
}

void instance::limit_requests()
{
    const auto grace = milliseconds(settings_.stop.grace_ms);
    if (grace == milliseconds::zero())
    {
        return;
    }
    const core::duration left = grace - grace / answer_margin_divisor;
    answers_due_ = timers_.now() + left;
    path_.begin_stop();
    timers_.schedule_after(
        left,
        [self = self_]
        {
            if (*self != nullptr)
            {
                (*self)->log_progress("answers_due");
                (*self)->path_.end_all();
                (*self)->front_.finish();
            }
        });
    timers_.schedule_after(
        grace - grace / end_margin_divisor,
        [self = self_]
        {
            if (*self != nullptr)
            {
                (*self)->end();
            }
        });
}

core::duration instance::time_to_end() const
{
    return answers_due_ ? std::max(*answers_due_ - timers_.now(), core::duration::zero())
                        : core::duration::max();
}

void instance::close_when_left()
{
    if (--open_steps_ == 0)
    {
        front_.close_listener();
        log_progress("listener_closed");
        finish_when_idle();
    }
}

void instance::finish_when_idle()
{
    if (front_.connections() > 0 || path_.in_flight() > 0)
    {
        timers_.schedule_after(
            idle_check_interval,
            [self = self_]
            {
                if (*self != nullptr)
                {
                    (*self)->front_.close_idle();
                    (*self)->finish_when_idle();
                }
            });
        return;
    }
    hooks_.remove(call_within(
        timers_, milliseconds(settings_.stop.stop_limit_ms),
        [self = self_]
        {
            if (*self != nullptr)
            {
                (*self)->end();
            }
        }));
}

void instance::end()
{
    if (const auto stopped = std::exchange(stopped_, nullptr))
    {
        log_progress("end");
        log_event(runtime::event_id::process_stopped);
        stopped();
    }
}

void instance::log_progress(const std::string& step) const
{
    log_event(
        runtime::event_id::stop_progress, {{"step", step},
                                           {"connections", std::to_string(front_.connections())},
                                           {"requests", std::to_string(path_.in_flight())},
                                           {"unsent", std::to_string(front_.unsent_bytes())}});
}

void instance::add_dump()
{
    admin_.add_section(
        "instance",
        [this]
        {
            return boost::json::value{{"id", settings_.instance.id},
                                      {"failure_domain", settings_.instance.failure_domain},
                                      {"table_revision", revision_},
                                      {"joined", hooks_.joined()},
                                      {"stopping", stopping_},
                                      {"requests_in_flight", path_.in_flight()}};
        });
    admin_.add_section("organisations", [this] { return to_json(path_.organisations()); });
}

} // namespace catkintally::entry
