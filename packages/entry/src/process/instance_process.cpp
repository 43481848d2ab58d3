#include <catkintally/entry/peers/fleet_event_log.hpp>
#include <catkintally/entry/process/fleet_dump.hpp>
#include <catkintally/entry/process/instance_process.hpp>
#include <catkintally/entry/process/process_parts.hpp>
#include <catkintally/entry/targets/product_target_dialect.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::entry
{

namespace
{

using std::chrono::milliseconds;

/// Pause between two announcements to the platform's list of instances.
constexpr auto announce_interval = std::chrono::seconds(5);

/// What a health check says, in the terms of a request's end.
core::completion_outcome outcome_of(const core::probe_report& report)
{
    if (!report.answered)
    {
        return core::completion_outcome::timed_out;
    }
    return report.status < 500 ? core::completion_outcome::answered
                               : core::completion_outcome::answered_error;
}

core::member self_of(const runtime::settings& values)
{
    core::member self;
    self.id = {.instance = values.instance.id, .incarnation = random_number()};
    self.failure_domain = values.instance.failure_domain;
    self.peer_address = values.peers.address;
    return self;
}

core::baseline_mode baseline_of(runtime::admission_mode mode)
{
    switch (mode)
    {
    case runtime::admission_mode::round_robin:
        return core::baseline_mode::round_robin;
    case runtime::admission_mode::two_choices:
        return core::baseline_mode::two_choices;
    case runtime::admission_mode::owner:
    case runtime::admission_mode::probing:
    case runtime::admission_mode::least_in_flight:
        break;
    }
    return core::baseline_mode::least_in_flight;
}

} // namespace

instance_process::instance_process(
    runtime::event_loop& loop, core::timer_service& timers, const runtime::settings& values)
    : loop_(loop)
    , timers_(timers)
    , settings_(values)
    , self_(self_of(values))
    , seed_(random_number())
    , api_(loop, timers, api_options(values.platform))
    , store_(api_, {.watch_wait = milliseconds(values.platform.watch_time_ms)})
    , directory_(store_)
    , watcher_(table_watcher_options{
          .store = &store_,
          .timers = &timers,
          .publish = [this](const auto& table) { use_table(table); }})
    , peers_(peer_options())
    , dialect_(product_target_dialect())
    , prober_(
          {.timers = &timers,
           .pool = [this]() -> target_pool& { return instance_.targets(); },
           .dialect = &dialect_})
    , node_(node_options())
    , journal_(timers)
    , instance_(loop, timers, values, hooks())
{
    add_dump();
    add_metrics();
}

core::fleet_node_options instance_process::node_options()
{
    core::fleet_node_options options;
    options.timers = &timers_;
    options.store = &store_;
    options.self = self_;
    options.seed = seed_;
    options.send = [this](const core::member_id& to, const wire::payloadUnion& message)
    { peers_.send(to, message); };
    options.members_changed = [this](const core::view& current) { peers_.set_members(current); };
    options.self_changed = [this](const core::member& self) { peers_.set_self(self); };
    options.table_objects = [this] { return table_objects(); };
    options.offer_table = [this](std::uint64_t revision, auto objects)
    { offer_table(revision, std::move(objects)); };
    options.probe = [this](const std::string& service, const std::string& target)
    { probe(service, target); };
    options.idle = [this] { return may_leave_view_; };
    options.event = log_fleet_event;
    options.key_capacity = settings_.idempotency.record_limit;
    options.answers.max_total_bytes = settings_.idempotency.answer_bytes;
    options.answers.keep = milliseconds(settings_.idempotency.answer_time_ms);
    options.stop_limit = milliseconds(settings_.stop.stop_limit_ms);
    return options;
}

peer_network_options instance_process::peer_options()
{
    peer_network_options options;
    options.loop = &loop_;
    options.timers = &timers_;
    options.self = self_;
    options.listen_address = settings_.peers.address;
    options.key = settings_.peers.shared_key;
    options.seeds = settings_.peers.seeds;
    options.seed = seed_;
    options.receive = [this](const core::member& peer, const wire::payloadUnion& message)
    { node_.receive(peer, message); };
    options.linked = [this](const core::member_id& peer) { node_.linked(peer); };
    return options;
}

instance_hooks instance_process::hooks()
{
    instance_hooks hooks;
    hooks.gateway = journal_.record(choose_gateway());
    hooks.joined = [this]
    { return local_ != nullptr ? watcher_.revision().has_value() : node_.ready(); };
    hooks.leave = [this](const std::function<void()>& left)
    {
        node_.begin_stop(
            [this]
            {
                left_view_ = true;
                if (removal_hook_)
                {
                    removal_hook_();
                }
            });
        left();
    };
    hooks.remove = [this](std::function<void()> removed)
    {
        may_leave_view_ = true;
        removal_hook_ = std::move(removed);
        if (left_view_)
        {
            removal_hook_();
        }
    };
    return hooks;
}

core::admission_gateway instance_process::choose_gateway()
{
    if (settings_.admission.mode == runtime::admission_mode::owner)
    {
        return node_.gateway();
    }
    local_ = std::make_unique<core::local_gateway>(core::local_gateway_options{
        .mode = baseline_of(settings_.admission.mode), .timers = &timers_, .seed = seed_});
    return local_->gateway();
}

bool instance_process::start()
{
    if (!peers_.start())
    {
        log_event(runtime::event_id::listen_failed, {{"address", settings_.peers.address}});
        return false;
    }
    if (!instance_.listen())
    {
        return false;
    }
    watcher_.start();
    node_.start();
    announce();
    return true;
}

void instance_process::stop(std::function<void()> stopped)
{
    instance_.stop(std::move(stopped));
}

void instance_process::use_table(const std::shared_ptr<const core::table_snapshot>& table)
{
    instance_.apply_table(table);
    table_ = table;
    node_.set_table(*table);
    if (local_ != nullptr)
    {
        local_->apply(*table);
    }
}

void instance_process::probe(const std::string& service, const std::string& target)
{
    const auto found = table_ == nullptr ? nullptr : core::find_target(*table_, service, target);
    if (found == nullptr)
    {
        return;
    }
    prober_.probe(
        table_->services.at(service).service, *found,
        [this, service, target](const core::probe_report& report)
        {
            core::completion_report probed;
            probed.service = service;
            probed.target = target;
            probed.outcome = outcome_of(report);
            probed.status = report.status;
            probed.service_time = report.took;
            probed.load = report.load;
            node_.probed(probed);
        });
}

void instance_process::offer_table(
    std::uint64_t revision, std::vector<wire::table_object_data> objects)
{
    std::vector<core::store_object> offered;
    offered.reserve(objects.size());
    for (wire::table_object_data& object : objects)
    {
        core::store_object copy;
        copy.key = std::move(object.key);
        copy.version = object.version;
        copy.value = std::move(object.value);
        offered.push_back(std::move(copy));
    }
    watcher_.offer(revision, offered);
}

std::vector<wire::table_object_data> instance_process::table_objects() const
{
    std::vector<wire::table_object_data> objects;
    for (core::store_object& object : watcher_.objects())
    {
        wire::table_object_data copy;
        copy.key = std::move(object.key);
        copy.version = object.version;
        copy.value = std::move(object.value);
        objects.push_back(std::move(copy));
    }
    return objects;
}

void instance_process::announce()
{
    directory_.announce(
        {.id = settings_.instance.id,
         .address = settings_.callers.address,
         .domain = settings_.instance.failure_domain,
         .leaving = may_leave_view_,
         .admin = settings_.admin.address},
        [](core::store_status) {});
    timers_.schedule_after(announce_interval, [this] { announce(); });
}

void instance_process::add_dump()
{
    admin_server& admin = instance_.admin();
    admin.add_section("fleet", [this] { return to_json(node_.dump()); });
    admin.add_section(
        "table",
        [this]
        {
            boost::json::object section{{"revision", watcher_.revision().value_or(0)}};
            if (watcher_.refusal())
            {
                section["refused_revision"] = watcher_.refusal()->revision;
            }
            return boost::json::value(std::move(section));
        });
    admin.add_query("/why", "id", [this](const std::string& id) { return journal_.find(id); });
}

void instance_process::add_metrics()
{
    runtime::metrics_registry& metrics = instance_.metrics();
    const auto gauge = [&metrics](const std::string& name, std::function<double()> read)
    { metrics.gauge(name, {}, std::move(read)); };
    gauge(
        "catkintally_control_bytes_sent",
        [this] { return static_cast<double>(peers_.counters().bytes_sent); });
    gauge(
        "catkintally_control_bytes_received",
        [this] { return static_cast<double>(peers_.counters().bytes_received); });
    gauge(
        "catkintally_control_messages_sent",
        [this] { return static_cast<double>(peers_.counters().messages_sent); });
    gauge("catkintally_probes_sent", [this] { return static_cast<double>(prober_.sent()); });
    gauge("catkintally_view_epoch", [this] { return static_cast<double>(node_.current().epoch); });
    gauge(
        "catkintally_table_revision",
        [this] { return static_cast<double>(watcher_.revision().value_or(0)); });

    add_store_metrics(metrics, api_);
}

} // namespace catkintally::entry
