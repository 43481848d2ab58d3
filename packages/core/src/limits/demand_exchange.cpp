#include <catkintally/core/limits/demand_exchange.hpp>

#include <cassert>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Interval at which the own demand is checked.
constexpr duration tick_interval = std::chrono::milliseconds(100);

/// Interval at which expired reports are removed.
constexpr duration expiry_interval = std::chrono::seconds(1);

/// Demand in the report of an instance that leaves.
constexpr double leaving_demand = -1;

} // namespace

demand_exchange::demand_exchange(demand_exchange_options options)
    : options_(std::move(options))
    , directory_(options_.retention)
{
    assert(options_.timers != nullptr);
}

demand_exchange::~demand_exchange()
{
    options_.timers->cancel(tick_timer_);
    options_.timers->cancel(batch_timer_);
}

own_demand& demand_exchange::demand_of(const std::string& service)
{
    const auto found = demands_.find(service);
    if (found != demands_.end())
    {
        return found->second;
    }
    own_demand& added = demands_.emplace(service, own_demand(options_.policy)).first->second;
    const auto former = former_.find(options_.hash(service));
    if (former != former_.end())
    {
        added.resume(former->second.per_second, options_.timers->now());
    }
    return added;
}

void demand_exchange::record_request(const std::string& service)
{
    demand_of(service).record(options_.timers->now());
}

double demand_exchange::measured(const std::string& service)
{
    return demand_of(service).measured(options_.timers->now());
}

void demand_exchange::start_reporting(const std::string& service)
{
    reported_services_.insert(service);
    start_ticking();
}

void demand_exchange::stop_reporting(const std::string& service)
{
    reported_services_.erase(service);
    demand_of(service).stop_reporting();
}

void demand_exchange::withdraw(const std::string& service)
{
    if (is_reporting(service))
    {
        add_report(make_report(service, leaving_demand));
        start_ticking();
    }
    reported_services_.erase(service);
    demands_.erase(service);
    former_.erase(options_.hash(service));
}

demand_report demand_exchange::make_report(const std::string& service, double per_second)
{
    return {
        .instance = name_hash(options_.self),
        .incarnation = options_.incarnation,
        .service = options_.hash(service),
        .failure_domain = name_hash(options_.failure_domain),
        .sequence = ++sequence_,
        .per_second = per_second};
}

bool demand_exchange::add_report(const demand_report& report)
{
    const bool added = directory_.merge(report, options_.timers->now());
    if (added)
    {
        outgoing_.push_back(report);
    }
    return added;
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

void demand_exchange::resume(const demand_report& former)
{
    // The report stays in force at the other instances until this run reports something else.
    if (options_.policy.resumes && former.incarnation != options_.incarnation &&
        former.per_second > 0 && former.age < options_.retention)
    {
        former_.try_emplace(former.service, former);
    }
}

void demand_exchange::merge(
    const std::vector<demand_report>& reports,
    const std::function<void(const demand_report&)>& on_new)
{
    const std::uint64_t self = name_hash(options_.self);
    for (const demand_report& each : reports)
    {
        if (each.instance != self)
        {
            if (add_report(each) && on_new)
            {
                on_new(each);
            }
        }
        else
        {
            // Reports of an earlier run of this instance may still be about.
            resume(each);
        }
    }
    if (!outgoing_.empty())
    {
        start_ticking();
        schedule_batch();
    }
}

std::optional<instance_demand> demand_exchange::settled_demand(const std::string& service)
{
    const auto settled = demand_of(service).settled(options_.timers->now());
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

std::size_t demand_exchange::instances_newer_than(duration age) const
{
    return directory_.instances_newer_than(age, options_.timers->now());
}

void demand_exchange::retain(const table_snapshot& table)
{
    retain([&table](const std::string& service) { return table.services.contains(service); });
}

void demand_exchange::retain(const std::function<bool(const std::string& service)>& is_listed)
{
    std::erase_if(demands_, [&](const auto& each) { return !is_listed(each.first); });
    std::erase_if(reported_services_, [&](const auto& each) { return !is_listed(each); });
}

void demand_exchange::start_ticking()
{
    if (tick_timer_ == 0)
    {
        tick_timer_ = options_.timers->schedule_after(tick_interval, [this] { tick(); });
    }
}

void demand_exchange::schedule_batch()
{
    if (batch_timer_ == 0 && options_.batch_interval < tick_interval)
    {
        batch_timer_ = options_.timers->schedule_after(
            options_.batch_interval,
            [this]
            {
                batch_timer_ = 0;
                send_outgoing();
            });
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
        report_own_demand();
    }
    send_outgoing();
    if (!reported_services_.empty() || directory_.size() > 0)
    {
        start_ticking();
    }
}

void demand_exchange::report_own_demand()
{
    const auto now = options_.timers->now();
    std::vector<std::string> due;
    std::vector<std::string> near;
    for (const std::string& service : reported_services_)
    {
        own_demand& demand = demand_of(service);
        if (demand.is_report_due(now))
        {
            due.push_back(service);
        }
        else if (options_.policy.renews_together && demand.is_renewal_near(now))
        {
            near.push_back(service);
        }
    }
    if (!due.empty())
    {
        due.insert(due.end(), near.begin(), near.end());
    }
    for (const std::string& service : due)
    {
        add_report(make_report(service, demand_of(service).report(now)));
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
