#include <catkintally/core/limits/demand_exchange.hpp>

#include <cassert>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Interval at which reports are sent. Those that arrive in between go on together.
constexpr duration tick_interval = std::chrono::milliseconds(100);

/// Interval at which expired reports are removed.
constexpr duration expiry_interval = std::chrono::seconds(1);

/// Demand in the report of an instance that leaves.
constexpr double leaving_demand = -1;

} // namespace

demand_exchange::demand_exchange(demand_exchange_options options)
    : options_(std::move(options))
{
    assert(options_.timers != nullptr);
}

demand_exchange::~demand_exchange()
{
    options_.timers->cancel(tick_timer_);
}

void demand_exchange::record_request(const std::string& service)
{
    demands_[service].record(options_.timers->now());
}

void demand_exchange::start_reporting(const std::string& service)
{
    reported_services_.insert(service);
    start_ticking();
}

void demand_exchange::stop_reporting(const std::string& service)
{
    reported_services_.erase(service);
    demands_[service].stop_reporting();
}

demand_report demand_exchange::make_report(const std::string& service, double per_second)
{
    return {
        .instance = name_hash(options_.self),
        .incarnation = options_.incarnation,
        .service = name_hash(service),
        .failure_domain = name_hash(options_.failure_domain),
        .sequence = ++sequence_,
        .per_second = per_second};
}

void demand_exchange::add_report(const demand_report& report)
{
    if (directory_.merge(report, options_.timers->now()))
    {
        outgoing_.push_back(report);
    }
}

void demand_exchange::leave()
{
    leaving_ = true;
    for (const std::string& service : reported_services_)
    {
        add_report(make_report(service, leaving_demand));
    }
    send_outgoing();
}

void demand_exchange::merge(const std::vector<demand_report>& reports)
{
    const std::uint64_t self = name_hash(options_.self);
    for (const demand_report& each : reports)
    {
        // Reports of an earlier run of this instance may still be about.
        if (each.instance != self)
        {
            add_report(each);
        }
    }
    if (!outgoing_.empty())
    {
        start_ticking();
    }
}

std::optional<instance_demand> demand_exchange::settled_demand(const std::string& service)
{
    const auto settled = demands_[service].settled(options_.timers->now());
    if (!settled)
    {
        return std::nullopt;
    }
    return instance_demand{
        .instance = name_hash(options_.self),
        .failure_domain = name_hash(options_.failure_domain),
        .per_second = *settled};
}

std::vector<demand_report> demand_exchange::reports() const
{
    return directory_.all(options_.timers->now());
}

void demand_exchange::retain(const table_snapshot& table)
{
    const auto is_removed = [&](const std::string& service)
    { return !table.services.contains(service); };
    std::erase_if(demands_, [&](const auto& each) { return is_removed(each.first); });
    std::erase_if(reported_services_, is_removed);
}

void demand_exchange::start_ticking()
{
    if (tick_timer_ == 0)
    {
        tick_timer_ = options_.timers->schedule_after(tick_interval, [this] { tick(); });
    }
}

void demand_exchange::tick()
{
    tick_timer_ = 0;
    const auto now = options_.timers->now();
    if (now - expired_removed_at_ >= expiry_interval)
    {
        expired_removed_at_ = now;
        directory_.remove_expired(now);
    }
    if (!leaving_)
    {
        for (const std::string& service : reported_services_)
        {
            own_demand& demand = demands_[service];
            if (demand.is_report_due(now))
            {
                add_report(make_report(service, demand.report(now)));
            }
        }
    }
    send_outgoing();
    if (!reported_services_.empty() || directory_.size() > 0)
    {
        start_ticking();
    }
}

void demand_exchange::send_outgoing()
{
    const auto reports = std::exchange(outgoing_, {});
    if (!reports.empty() && options_.send)
    {
        options_.send(reports);
    }
}

} // namespace catkintally::core
