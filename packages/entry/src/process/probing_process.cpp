#include <catkintally/entry/process/barrier_dump.hpp>
#include <catkintally/entry/process/limit_dump.hpp>
#include <catkintally/entry/process/overflow_report.hpp>
#include <catkintally/entry/process/probing_log.hpp>
#include <catkintally/entry/process/probing_process.hpp>
#include <catkintally/entry/process/process_parts.hpp>
#include <catkintally/entry/targets/product_target_dialect.hpp>
#include <catkintally/platform/platform_target_dialect.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::entry
{

namespace
{

using runtime::event_id;
using runtime::log_event;
using std::chrono::milliseconds;

/// Wait of watches of evacuations, which must be in force within five seconds.
constexpr auto quiet_watch_wait = std::chrono::seconds(2);

core::target_dialect dialect_of(const runtime::settings& values)
{
    if (values.platform.configuration == runtime::platform_configuration::objects)
    {
        return platform::platform_target_dialect();
    }
    return product_target_dialect();
}

/// Least bandwidth of a fast link: a configuration of 1 MB takes 80 ms.
constexpr double fast_link_mbps = 100;

core::link_speed speed_of(double link_mbps)
{
    return link_mbps == 0                ? core::link_speed::unknown
           : link_mbps >= fast_link_mbps ? core::link_speed::fast
                                         : core::link_speed::slow;
}

/// Fills in what the settings leave to the platform.
runtime::settings
with_platform_limits(runtime::settings values, const platform::platform_limits& limits)
{
    if (values.stop.grace_ms == 0)
    {
        values.stop.grace_ms = limits.grace_ms;
    }
    return values;
}

} // namespace

probing_process::probing_process(
    runtime::event_loop& loop,
    core::timer_service& timers,
    const runtime::settings& values,
    const platform::platform_limits& limits)
    : loop_(loop)
    , timers_(timers)
    , settings_(with_platform_limits(values, limits))
    , limits_(limits)
    , store_addresses_(values.platform.addresses)
    , dialect_(dialect_of(values))
    , api_(loop, timers, api_options(values.platform))
    , store_(api_, {.watch_wait = milliseconds(values.platform.watch_time_ms)})
    , quiet_store_(api_, {.watch_wait = quiet_watch_wait})
    , prober_(
          {.timers = &timers,
           .pool = [this]() -> target_pool& { return instance_.targets(); },
           .dialect = &dialect_})
    , limiter_(limiter_options())
    , gateway_(gateway_options())
    , quotas_(
          {.timers = &timers,
           .self = values.instance.id,
           .limits = limits,
           .news = [this] { return news_.get(); },
           .in_contact = [this] { return !duty_ || duty_->is_fresh(); }})
    , instance_(loop, timers, settings_, hooks())
{
    if (values.platform.configuration == runtime::platform_configuration::objects)
    {
        crash_records_ = std::make_unique<crash_record_part>(crash_record_part_options{
            .store = &store_, .timers = &timers_, .gateway = &gateway_, .seed = random_number()});
        make_follower();
        make_news();
    }
    else
    {
        watcher_ = std::make_unique<table_watcher>(table_watcher_options{
            .store = &store_, .timers = &timers, .publish = [this](const auto& table) {
                use_table(table);
            }});
    }
    add_metrics();
}

void probing_process::make_follower()
{
    follower_ = std::make_unique<configuration_follower>(configuration_follower_options{
        .store = &store_,
        .long_watch_store = &quiet_store_,
        .timers = &timers_,
        .self = settings_.instance.id,
        .retry_budget_percent = limits_.retry_percent,
        .publish = [this](const auto& table) { use_table(table); },
        .updated = [this](const object_update& update) { news_->broadcast_update(update); },
        .on_call_result = [this](bool reached) { duty_->on_store_call(reached); },
        .on_probed =
            [this]
        {
            duty_->on_store_probed();
            crash_records_->records().on_store_answered();
        },
        .missing_entries =
            {.is_store_away = [this] { return duty_->is_store_away(); },
             .last_store_contact = [this] { return duty_->last_store_contact(); }}});
}

void probing_process::make_news()
{
    core::member self;
    self.id = {.instance = settings_.instance.id, .incarnation = random_number()};
    self.failure_domain = settings_.instance.failure_domain;
    self.peer_address = settings_.peers.address;
    duty_ = std::make_unique<core::reader_election>(core::reader_election_options{
        .timers = &timers_,
        .self = core::to_text(self.id),
        .seed = random_number(),
        .speed = speed_of(settings_.instance.link_mbps),
        .start_spread = milliseconds(settings_.peers.start_spread_ms),
        .is_seed = std::find(
                       settings_.peers.seeds.begin(), settings_.peers.seeds.end(),
                       settings_.peers.address) != settings_.peers.seeds.end(),
        .instances = [this] { return news_->instances(); },
        .on_reading_changed =
            [this](bool reading)
        {
            crash_records_->records().set_reading(reading);
            follower_->set_reading(reading);
        },
        .announce = [this](wire::reader_state state) { news_->broadcast_reader_state(state); },
        .awaits_update = [this] { return news_->awaits_update(); },
        .on_store_returned =
            [this]
        {
            follower_->note_store_returned();
            crash_records_->records().on_store_returned();
        }});
    news_ = std::make_unique<gossip_node>(gossip_node_options{
        .loop = &loop_,
        .timers = &timers_,
        .self = self,
        .listen_address = settings_.peers.address,
        .key = settings_.peers.shared_key,
        .seeds = settings_.peers.seeds,
        .seed = random_number(),
        .offer = [this](const object_update& update) { return follower_->offer(update); },
        .whole = [this](const std::string& prefix) { return follower_->whole(prefix); },
        .states = [this] { return follower_->states(); },
        .on_reader_state =
            [this](const std::string& reader, wire::reader_state state, core::duration age)
        { duty_->on_reader_state(reader, state, age); },
        .on_target_crash = [this](const core::target_crash& crash)
        { return gateway_.note_crash(crash); },
        .suspected_crashes = [this] { return gateway_.suspected_crashes(); },
        .on_suspicion_cleared =
            [this](std::uint64_t fingerprint)
        {
            crash_records_->records().forget(fingerprint);
            return gateway_.note_answered(fingerprint);
        },
        .on_crash_record = [this](const core::crash_record& record)
        { return gateway_.merge_crash_record(record); },
        .crash_records = [this] { return gateway_.crash_records(); },
        .on_target_limit = [this](const core::target_limit& limit)
        { return limiter_.merge_limit(limit); },
        .target_limits = [this] { return limiter_.limits(); },
        .on_demand = [this](const std::vector<core::demand_report>& reports)
        { limiter_.merge_demand(reports); },
        .demand_reports = [this] { return limiter_.demand_reports(); },
        .on_other = [this](const core::member& from, const wire::payloadUnion& message)
        { quotas_.receive(from, message); },
        .on_linked = [this](const core::member_id& peer) { quotas_.on_linked(peer); }});
}

core::target_rate_limiter_options probing_process::limiter_options()
{
    core::target_rate_limiter_options options;
    options.timers = &timers_;
    options.self = settings_.instance.id;
    options.incarnation = random_number();
    options.failure_domain = settings_.instance.failure_domain;
    if (settings_.platform.configuration == runtime::platform_configuration::objects)
    {
        options.instances = [this]
        {
            const core::fleet_size size = news_->fleet();
            return size.near + size.far;
        };
        options.announce_limit = [this](const core::target_limit& limit)
        { news_->broadcast_limit(limit); };
        options.send_demand = [this](const std::vector<core::demand_report>& reports)
        { news_->broadcast_demand(reports); };
    }
    options.on_changed = log_limit_change;
    options.on_malformed =
        [](const std::string& service, const std::string& target, const std::string& text)
    {
        log_event(
            event_id::target_limit_malformed,
            {{"service", service}, {"target", target}, {"text", text}});
    };
    options.on_dropped = [](const core::target_limit& limit)
    {
        log_event(
            event_id::target_limit_dropped,
            {{"service", limit.service}, {"target", limit.target}, {"read_by", limit.source}});
    };
    return options;
}

core::probing_gateway_options probing_process::gateway_options()
{
    core::probing_gateway_options options;
    options.timers = &timers_;
    options.limiter = &limiter_;
    options.seed = random_number();
    options.failure_domain = settings_.instance.failure_domain;
    options.targets_per_round = settings_.probing.targets;
    options.probe_timeout = milliseconds(settings_.probing.answer_time_ms);
    options.self = settings_.instance.id;
    options.retry_slack = static_cast<double>(settings_.probing.retry_slack);
    if (settings_.platform.configuration == runtime::platform_configuration::objects)
    {
        options.retry_slack = limits_.retry_slack;
        options.fleet = [this] { return news_->fleet(); };
        options.save_crash_record =
            [this](std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)
        { crash_records_->save(fingerprint, crashes, std::move(done)); };
        options.reserve_crash_attempt =
            [this](std::uint64_t fingerprint, std::uint32_t crashes, std::function<void(bool)> done)
        { crash_records_->reserve(fingerprint, crashes, std::move(done)); };
        options.remove_crash_record = [this](std::uint64_t fingerprint)
        { crash_records_->records().remove(fingerprint); };
    }
    options.cold_interval = milliseconds(settings_.probing.cold_interval_ms);
    options.hedging.min_slots = static_cast<std::uint32_t>(settings_.probing.hedge_min_slots);
    options.probe = [this](
                        const core::service_config& config, const core::target_row& target,
                        std::function<void(core::probe_report)> done)
    { prober_.probe(config.service, target, std::move(done)); };
    options.try_connect = [this](const core::target_row& target, std::function<void(bool)> ended)
    { prober_.try_connect(target, std::move(ended)); };
    options.crashed = [this](const core::target_crash& crash)
    {
        log_crash(crash);
        if (news_)
        {
            news_->broadcast_crash(crash);
        }
    };
    options.announce_crash_record = [this](const core::crash_record& record)
    {
        if (news_)
        {
            news_->broadcast_crash_record(record);
        }
    };
    options.cleared = [this](std::uint64_t fingerprint)
    {
        if (news_)
        {
            news_->broadcast_suspicion_cleared(fingerprint);
        }
    };
    options.shortage_min_slots = static_cast<std::uint32_t>(settings_.shortage.min_slots);
    options.on_decided = [this](const core::probing_decision& decision)
    {
        log_decision(decision);
        shortage_metrics_.record(decision, instance_.metrics());
    };
    options.overflow = overflow_settings_of(settings_);
    options.overflow_changed = [this](const std::string& service, bool active)
    { log_overflow_change(gateway_, service, active); };
    options.on_lost =
        [](const std::string& trace_id, const std::string& target, core::loss_cause cause)
    {
        log_event(
            event_id::request_lost_at_target,
            {{"request", trace_id}, {"target", target}, {"cause", loss_cause_name(cause)}});
    };
    options.ejected =
        [](const std::string& service, const std::string& target, std::uint32_t failures)
    {
        log_event(
            event_id::target_ejected,
            {{"service", service}, {"target", target}, {"failures", std::to_string(failures)}});
    };
    return options;
}

instance_hooks probing_process::hooks()
{
    instance_hooks hooks;
    hooks.gateway = gateway_.gateway();
    hooks.joined = [this] { return has_table_; };
    hooks.dialect = dialect_;
    hooks.quota = quotas_.hooks();
    return hooks;
}

bool probing_process::start()
{
    if (!instance_.listen())
    {
        return false;
    }
    if (!follower_)
    {
        watcher_->start();
        return true;
    }
    if (!news_->start())
    {
        log_event(event_id::listen_failed, {{"address", settings_.peers.address}});
        return false;
    }
    duty_->start();
    return true;
}

std::vector<std::string> probing_process::reload(const runtime::settings& values)
{
    std::vector<std::string> applied;
    if (values.platform.addresses != store_addresses_)
    {
        store_addresses_ = values.platform.addresses;
        api_.set_addresses(api_options(values.platform).addresses);
        applied.emplace_back("platform.addresses");
    }
    return applied;
}

void probing_process::stop(std::function<void()> stopped)
{
    limiter_.leave();
    quotas_.leave();
    instance_.stop(std::move(stopped));
}

void probing_process::use_table(const std::shared_ptr<const core::table_snapshot>& table)
{
    has_table_ = true;
    quotas_.apply(*table);
    // The gateway may grant waiting requests at once, which are checked against the newest keys.
    instance_.apply_table(table);
    gateway_.apply(table);
    if (settings_.overflow.mode == runtime::overflow_mode::auto_)
    {
        add_overflow_metrics(instance_.metrics(), gateway_, *table);
    }
}

boost::json::value probing_process::store_dump() const
{
    const auto era = follower_ ? follower_->era() : std::nullopt;
    if (!era)
    {
        return {{"era", nullptr}};
    }
    const std::chrono::duration<double> age = timers_.now() - era->since;
    return {{"era", era->era}, {"known_for_s", age.count()}, {"read_by", era->reader}};
}

void probing_process::add_metrics()
{
    runtime::metrics_registry& metrics = instance_.metrics();
    add_store_metrics(metrics, api_);
    if (crash_records_)
    {
        crash_records_->add_metrics(metrics);
    }
    quotas_.add_to(instance_);
    metrics.gauge(
        "catkintally_probes_sent", {}, [this] { return static_cast<double>(prober_.sent()); });
    metrics.gauge(
        "catkintally_targets_ejected", {},
        [this] { return static_cast<double>(gateway_.ejected_count()); });
    metrics.gauge(
        "catkintally_configuration_version", {},
        [this] { return follower_ ? static_cast<double>(follower_->version().value_or(0)) : 0.0; });
    metrics.gauge(
        "catkintally_objects_refused", {},
        [this] { return follower_ ? static_cast<double>(follower_->refused_count()) : 0.0; });
    metrics.gauge(
        "catkintally_store_era", {},
        [this] {
            return follower_ && follower_->era() ? static_cast<double>(follower_->era()->era) : 0.0;
        });
    metrics.gauge(
        "catkintally_store_era_known_seconds", {},
        [this]
        {
            const std::chrono::duration<double> age = follower_ && follower_->era()
                                                          ? timers_.now() - follower_->era()->since
                                                          : core::duration::zero();
            return age.count();
        });
    metrics.gauge(
        "catkintally_store_kind_silent_seconds", {},
        [this] {
            return follower_ ? std::chrono::duration<double>(follower_->longest_silence()).count()
                             : 0.0;
        });
    metrics.gauge(
        "catkintally_store_in_contact", {},
        [this] { return !follower_ || follower_->is_in_contact() ? 1.0 : 0.0; });
    metrics.gauge(
        "catkintally_targets_limited", {},
        [this] { return static_cast<double>(limiter_.limited_targets()); });
    metrics.gauge(
        "catkintally_target_limits_malformed", {},
        [this] { return static_cast<double>(limiter_.malformed()); });
    metrics.gauge(
        "catkintally_target_limit_demand_reports", {},
        [this] { return static_cast<double>(limiter_.known_reports()); });
    instance_.admin().add_section("overflow", [this] { return to_json(gateway_.overflows()); });
    instance_.admin().add_section("target_limits", [this] { return to_json(limiter_.dump()); });
    metrics.gauge(
        "catkintally_targets_barred", {},
        [this] { return static_cast<double>(gateway_.barriers().size()); });
    instance_.admin().add_section(
        "target_barriers", [this] { return to_json(gateway_.barriers(), timers_.now()); });
    metrics.gauge(
        "catkintally_targets_full_resets", {},
        [this] { return static_cast<double>(gateway_.full_resets()); });
    instance_.admin().add_section("shortage", [this] { return to_json(gateway_.shortage()); });
    instance_.admin().add_section("store", [this] { return store_dump(); });
    if (news_)
    {
        metrics.gauge(
            "catkintally_news_fresh", {}, [this] { return duty_->is_fresh() ? 1.0 : 0.0; });
        metrics.gauge(
            "catkintally_store_reading", {}, [this] { return duty_->is_reading() ? 1.0 : 0.0; });
        metrics.gauge(
            "catkintally_instances_known", {},
            [this] { return static_cast<double>(news_->instances()); });
        metrics.gauge(
            "catkintally_control_bytes_sent", {},
            [this] { return static_cast<double>(news_->counters().bytes_sent); });
        metrics.gauge(
            "catkintally_control_bytes_received", {},
            [this] { return static_cast<double>(news_->counters().bytes_received); });
    }
}

} // namespace catkintally::entry
