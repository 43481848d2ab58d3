#include "limited_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

constexpr const char* service_name = "desk";
constexpr duration probe_time = milliseconds(1);
constexpr duration objective = milliseconds(300);
constexpr std::uint32_t slots = 8;

std::string domain_name(std::size_t number)
{
    return "d" + std::to_string(number);
}

} // namespace

limited_fleet::limited_fleet(limited_fleet_options options)
    : options_(options)
    , random_(options.seed)
    , targets_(options.targets)
{
    timers.advance(std::chrono::seconds(1));
    service_config& config = table_.services[service_name];
    config.service.name = service_name;
    config.service.retry_budget_percent = 20;
    for (std::size_t number = 0; number < options_.targets; ++number)
    {
        target_row row;
        row.name = "t" + std::to_string(number);
        row.address = "10.0.0.1:" + std::to_string(number + 1);
        row.failure_domain = domain_name(number % options_.failure_domains);
        row.slots = slots;
        row.incarnation = 1;
        config.targets.push_back(row);
    }
    for (std::size_t number = 0; number < options_.instances; ++number)
    {
        add_instance();
    }
}

limited_fleet::~limited_fleet() = default;

double limited_fleet::uniform()
{
    return (static_cast<double>(random_.next() >> 11U) + 1) * 0x1.0p-53;
}

std::size_t limited_fleet::index_of(const std::string& target) const
{
    return static_cast<std::size_t>(std::stoul(target.substr(1)));
}

void limited_fleet::add_instance()
{
    auto added = std::make_unique<simulated_instance>();
    added->number = instances_.size();
    added->name = "i" + std::to_string(instances_.size());
    added->failure_domain = domain_name(instances_.size() % options_.failure_domains);
    start(*added);
    instances_.push_back(std::move(added));
    apply_table();
}

void limited_fleet::start(simulated_instance& self)
{
    self.probing.reset();
    self.limiter = std::make_unique<target_rate_limiter>(target_rate_limiter_options{
        .timers = &timers,
        .self = self.name,
        .incarnation = self.incarnation,
        .failure_domain = self.failure_domain,
        .instances =
            [this]
        {
            const auto size = static_cast<double>(instances_.size()) * options_.size_estimate_error;
            return static_cast<std::size_t>(std::lround(size));
        },
        .announce_limit =
            [this, &self](const target_limit& limit)
        {
            ++limit_messages;
            deliver(
                self, [limit](simulated_instance& other) { other.limiter->merge_limit(limit); });
        },
        .send_demand =
            [this, &self](const std::vector<demand_report>& reports)
        {
            // deliver() reaches every instance, so that only own reports have to be sent.
            std::vector<demand_report> own;
            std::copy_if(
                reports.begin(), reports.end(), std::back_inserter(own),
                [&](const demand_report& each) { return each.instance == name_hash(self.name); });
            demand_reports += own.size();
            if (!own.empty())
            {
                deliver(
                    self, [own](simulated_instance& other) { other.limiter->merge_demand(own); });
            }
        }});
    probing_gateway_options options;
    options.timers = &timers;
    options.seed = random_.next();
    options.failure_domain = self.failure_domain;
    options.self = self.name;
    options.limiter = self.limiter.get();
    options.fleet = [this]
    { return fleet_size{.near = instances_.size() / 3 + 1, .far = instances_.size() * 2 / 3}; };
    options.probe = [this](
                        const service_config&, const target_row& row,
                        const std::function<void(probe_report)>& done)
    {
        const simulated_target& target = targets_[index_of(row.name)];
        probe_report report;
        report.answered = true;
        report.healthy = true;
        report.name = row.name;
        report.load = load_report{.running = target.running, .slots = slots};
        report.limit = statement_of(target);
        report.took = probe_time;
        timers.schedule_after(probe_time, [done, report] { done(report); });
    };
    options.try_connect = [this](const target_row&, const std::function<void(bool)>& done)
    { timers.schedule_after(probe_time, [done] { done(true); }); };
    self.probing = std::make_unique<probing_gateway>(std::move(options));
    self.gateway = self.probing->gateway();
    self.probing->apply(std::make_shared<const table_snapshot>(table_));
}

limit_statement limited_fleet::statement_of(const simulated_target& target) const
{
    if (!target.limit)
    {
        return {};
    }
    return {.kind = limit_statement_kind::named, .per_second = *target.limit};
}

void limited_fleet::apply_table()
{
    ++table_.revision;
    const auto table = std::make_shared<const table_snapshot>(table_);
    for (const auto& each : instances_)
    {
        if (each->probing)
        {
            each->probing->apply(table);
        }
    }
}

void limited_fleet::deliver(
    const simulated_instance& from, const std::function<void(simulated_instance&)>& news)
{
    for (const auto& each : instances_)
    {
        const bool separated = halves_separated_ && each->number % 2 != from.number % 2;
        if (each.get() == &from || separated || uniform() <= options_.news_loss)
        {
            continue;
        }
        const auto spread = options_.max_news_delay - options_.min_news_delay;
        const auto delay =
            options_.min_news_delay + std::chrono::duration_cast<duration>(spread * uniform());
        timers.schedule_after(
            delay,
            [news, other = each.get()]
            {
                if (other->probing)
                {
                    news(*other);
                }
            });
    }
}

void limited_fleet::set_limit(std::size_t target, std::optional<double> per_second)
{
    targets_[target].limit = per_second;
}

void limited_fleet::restart_target(std::size_t target)
{
    targets_[target].limit.reset();
    table_.services[service_name].targets[target].incarnation = ++targets_[target].incarnation;
    apply_table();
}

void limited_fleet::restart(std::size_t instance)
{
    simulated_instance& self = *instances_[instance];
    ++self.incarnation;
    start(self);
    const auto neighbour = std::find_if(
        instances_.begin(), instances_.end(),
        [&](const auto& each) { return each.get() != &self && each->probing; });
    if (neighbour != instances_.end())
    {
        for (const target_limit& each : (*neighbour)->limiter->limits())
        {
            self.limiter->merge_limit(each);
        }
        self.limiter->merge_demand((*neighbour)->limiter->demand_reports());
    }
}

void limited_fleet::kill(std::size_t instance)
{
    instances_[instance]->probing.reset();
    instances_[instance]->limiter.reset();
}

void limited_fleet::freeze(std::size_t instance, duration span)
{
    instances_[instance]->frozen_until = timers.now() + span;
}

void limited_fleet::run(duration span)
{
    if (!std::exchange(calling_, true))
    {
        schedule_request();
    }
    const time_point end = timers.now() + span;
    while (timers.now() < end)
    {
        timers.advance(std::min<duration>(milliseconds(1), end - timers.now()));
    }
}

void limited_fleet::schedule_request()
{
    const std::chrono::duration<double> pause(-std::log(uniform()) / options_.requests_per_s);
    timers.schedule_after(
        std::chrono::ceil<duration>(pause),
        [this]
        {
            std::size_t instance = random_.next() % instances_.size();
            if (!crowded_.empty())
            {
                instance = *std::next(
                    crowded_.begin(),
                    static_cast<std::ptrdiff_t>(random_.next() % crowded_.size()));
            }
            send_request(instance, true);
            schedule_request();
        });
}

void limited_fleet::send_request(std::size_t instance, bool may_retry)
{
    simulated_instance& self = *instances_[instance];
    if (!self.probing)
    {
        return;
    }
    if (timers.now() < self.frozen_until)
    {
        timers.schedule_after(
            self.frozen_until - timers.now(),
            [this, instance, may_retry] { send_request(instance, may_retry); });
        return;
    }
    admission_request request;
    request.id = next_request_++;
    request.service = service_name;
    request.idempotent = true;
    request.objective_left = objective;
    const request_id id = request.id;
    const time_point asked = timers.now();
    self.gateway.ask(
        std::move(request), [this, instance, id, asked, may_retry](const admission_answer& answer)
        { on_decision(instance, id, asked, may_retry, answer); });
}

void limited_fleet::on_decision(
    std::size_t instance,
    request_id id,
    time_point asked,
    bool may_retry,
    const admission_answer& answer)
{
    if (answer.code != decision_code::granted)
    {
        refusals.push_back(
            {.at = timers.now(),
             .code = answer.code,
             .took = timers.now() - asked,
             .retry_after = answer.retry_after});
        if (may_retry)
        {
            const std::size_t next =
                crowded_.empty() ? random_.next() % instances_.size() : instance;
            timers.schedule_after(
                std::max<duration>(answer.retry_after, milliseconds(1)),
                [this, next] { send_request(next, false); });
        }
        return;
    }
    const std::size_t index = index_of(answer.target);
    targets_[index].arrivals.push_back(timers.now());
    ++targets_[index].running;
    timers.schedule_after(
        options_.service_time,
        [this, instance, id, index, name = answer.target,
         incarnation = instances_[instance]->incarnation]
        {
            simulated_target& target = targets_[index];
            --target.running;
            simulated_instance& self = *instances_[instance];
            if (!self.probing || self.incarnation != incarnation)
            {
                return;
            }
            ++answered;
            completion_report report;
            report.id = id;
            report.service = service_name;
            report.target = name;
            report.status = target.status;
            report.outcome = target.status == 503   ? completion_outcome::not_run
                             : target.status >= 500 ? completion_outcome::answered_error
                                                    : completion_outcome::answered;
            report.limit = statement_of(target);
            self.gateway.complete(report, nullptr);
        });
}

std::size_t limited_fleet::largest_window(std::size_t target, time_point from) const
{
    const auto& arrivals = targets_[target].arrivals;
    std::size_t largest = 0;
    auto end = arrivals.begin();
    for (auto begin = arrivals.begin(); begin != arrivals.end(); ++begin)
    {
        while (end != arrivals.end() && *end <= *begin + std::chrono::seconds(4))
        {
            ++end;
        }
        if (*begin >= from)
        {
            largest = std::max(largest, static_cast<std::size_t>(end - begin));
        }
    }
    return largest;
}

double limited_fleet::rate(std::size_t target, time_point from) const
{
    const auto& arrivals = targets_[target].arrivals;
    const auto count = std::count_if(
        arrivals.begin(), arrivals.end(), [from](time_point each) { return each >= from; });
    return static_cast<double>(count) / std::chrono::duration<double>(timers.now() - from).count();
}

} // namespace catkintally::core
