#include "overflow_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

constexpr const char* service_name = "desk";
constexpr std::size_t domains = 4;
constexpr std::uint32_t slots = 6;
constexpr std::size_t queue_limit = 12;
constexpr duration work = milliseconds(320);
constexpr duration objective = milliseconds(800);
constexpr duration slow_span = milliseconds(150);
constexpr duration cold_time = std::chrono::seconds(3);
/// One way within a domain, and in addition between domains.
constexpr duration near_path = std::chrono::microseconds(250);
constexpr duration far_path = std::chrono::microseconds(900);
/// Request and response of a health check with their headers.
constexpr double probe_kilobytes = 0.6;

std::string domain_name(std::size_t number)
{
    return "d" + std::to_string(number);
}

} // namespace

overflow_fleet::overflow_fleet(overflow_fleet_options options)
    : options_(options)
    , random_(options.seed)
    , rates_(options.requests_per_s)
{
    timers.advance(std::chrono::seconds(1));
    service_config& config = table_.services[service_name];
    config.service.name = service_name;
    config.service.retry_budget_percent = 20;
    config.service.warmup_requests_per_s = 4;
    for (std::size_t number = 0; number < options_.targets_per_domain * domains; ++number)
    {
        target_row row;
        row.name = "t" + std::to_string(number);
        row.address = "10.0.0.1:" + std::to_string(number + 1);
        row.failure_domain = domain_name(number % domains);
        row.slots = slots;
        row.incarnation = 1;
        config.targets.push_back(row);
        targets_.push_back({.domain = number % domains, .phase = random_.next()});
    }
    for (std::size_t number = 0; number < options_.instances; ++number)
    {
        add_instance(number);
    }
    apply_table();
    for (std::size_t domain = 0; domain < domains; ++domain)
    {
        schedule_call(domain);
    }
}

overflow_fleet::~overflow_fleet() = default;

double overflow_fleet::uniform()
{
    return (static_cast<double>(random_.next() >> 11U) + 1) * 0x1.0p-53;
}

duration overflow_fleet::path(std::size_t from, std::size_t to) const
{
    return from == to ? near_path : near_path + far_path;
}

void overflow_fleet::add_instance(std::size_t number)
{
    auto added = std::make_unique<simulated_instance>();
    added->domain = number % domains;
    probing_gateway_options options;
    options.timers = &timers;
    options.seed = random_.next();
    options.failure_domain = domain_name(added->domain);
    options.self = "i" + std::to_string(number);
    options.overflow = options_.overflow;
    options.fleet = [this]
    {
        const std::size_t near = options_.instances / domains;
        return fleet_size{.near = near, .far = options_.instances - near};
    };
    options.probe = [this, home = added->domain](
                        const service_config&, const target_row& row,
                        const std::function<void(probe_report)>& done)
    {
        const std::size_t index = std::stoul(row.name.substr(1));
        const duration way = path(home, targets_[index].domain);
        ++totals_[home].probes;
        if (targets_[index].domain != home)
        {
            ++totals_[home].probes_elsewhere;
            totals_[home].kilobytes_elsewhere += probe_kilobytes;
        }
        timers.schedule_after(
            way,
            [this, index, way, name = row.name, done]
            {
                probe_report report = report_of(targets_[index]);
                report.name = name;
                report.took = 2 * way;
                timers.schedule_after(way, [done, report] { done(report); });
            });
    };
    options.try_connect = [this](const target_row&, const std::function<void(bool)>& done)
    { timers.schedule_after(near_path, [done] { done(true); }); };
    added->probing = std::make_unique<probing_gateway>(std::move(options));
    added->gateway = added->probing->gateway();
    instances_.push_back(std::move(added));
}

probe_report overflow_fleet::report_of(const simulated_target& target) const
{
    probe_report report;
    report.answered = true;
    report.healthy = true;
    // The load header tells the speed of the moment, not the slowness of a nearly full target.
    report.load = load_report{
        .running = target.running,
        .queued = static_cast<std::uint32_t>(target.queue.size()),
        .slots = slots,
        .slowdown = slowdown(target)};
    report.warmup_remaining = std::max(target.cold_until - timers.now(), duration::zero());
    return report;
}

void overflow_fleet::apply_table()
{
    ++table_.revision;
    const auto table = std::make_shared<const table_snapshot>(table_);
    for (const auto& each : instances_)
    {
        each->probing->apply(table);
    }
}

void overflow_fleet::set_rate(std::size_t domain, double requests_per_s)
{
    rates_[domain] = requests_per_s;
}

void overflow_fleet::evacuate(std::size_t domain, bool out)
{
    const std::string name = domain_name(domain);
    table_.domains[name] = {.name = name, .state = out ? domain_state::out : domain_state::in};
    apply_table();
    for (simulated_target& each : targets_)
    {
        each.arrivals = each.domain == domain ? 0 : each.arrivals;
    }
}

void overflow_fleet::restart_targets(std::size_t domain)
{
    for (std::size_t index = domain; index < targets_.size(); index += domains)
    {
        target_row& row = table_.services[service_name].targets[index];
        row.incarnation = ++targets_[index].incarnation;
        row.warmup_remaining = cold_time;
        targets_[index].cold_until = timers.now() + cold_time;
    }
    apply_table();
}

void overflow_fleet::run(duration span)
{
    const time_point end = timers.now() + span;
    while (timers.now() < end)
    {
        timers.advance(std::min<duration>(milliseconds(1), end - timers.now()));
    }
}

void overflow_fleet::schedule_call(std::size_t domain)
{
    const std::chrono::duration<double> pause(-std::log(uniform()) / rates_[domain]);
    timers.schedule_after(
        std::chrono::ceil<duration>(pause),
        [this, domain]
        {
            send({.domain = domain, .since = timers.now(), .resets = resets_});
            schedule_call(domain);
        });
}

void overflow_fleet::send(const call& current)
{
    const std::size_t per_domain = instances_.size() / domains;
    const std::size_t instance = random_.next() % per_domain * domains + current.domain;
    admission_request request;
    request.id = next_request_++;
    request.service = service_name;
    request.idempotent = true;
    request.body_bytes = static_cast<std::uint64_t>(options_.kilobytes * 1'000);
    request.objective_left = std::max(objective - (timers.now() - current.since), duration::zero());
    const request_id id = request.id;
    instances_[instance]->gateway.ask(
        std::move(request), [this, instance, id, current](const admission_answer& answer)
        { on_decision(instance, id, current, answer); });
}

void overflow_fleet::on_decision(
    std::size_t instance, request_id id, const call& current, const admission_answer& answer)
{
    overflow_totals& totals = totals_[current.domain];
    const auto come_back = [this, current](duration after)
    {
        if (current.retry)
        {
            if (current.resets == resets_)
            {
                ++totals_[current.domain].refused;
                ++totals_[current.domain].ended;
            }
            return;
        }
        timers.schedule_after(
            std::max<duration>(after, milliseconds(1)),
            [this, current]
            {
                call again = current;
                again.retry = true;
                send(again);
            });
    };
    if (answer.code != decision_code::granted)
    {
        come_back(answer.retry_after);
        return;
    }
    const std::size_t index = std::stoul(answer.target.substr(1));
    const bool elsewhere = targets_[index].domain != current.domain;
    const duration way = path(current.domain, targets_[index].domain);
    auto& counts = seconds_[current.domain];
    counts.resize(
        static_cast<std::size_t>(timers.now().time_since_epoch() / std::chrono::seconds(1)) + 1);
    ++counts.back().granted;
    ++totals.granted;
    if (elsewhere)
    {
        ++counts.back().elsewhere;
        ++totals.granted_elsewhere;
        totals.kilobytes_elsewhere += options_.kilobytes;
    }
    auto ended =
        [this, instance, id, current, way, come_back, target = answer.target](duration took)
    {
        timers.schedule_after(
            way,
            [this, instance, id, current, way, come_back, target, took]
            {
                const bool full = took == duration::zero();
                completion_report report;
                report.id = id;
                report.service = service_name;
                report.target = target;
                report.status = full ? 503 : 200;
                report.outcome = full ? completion_outcome::not_run : completion_outcome::answered;
                report.service_time = took + 2 * way;
                instances_[instance]->gateway.complete(report, nullptr);
                if (full)
                {
                    come_back(milliseconds(200));
                    return;
                }
                if (current.resets != resets_)
                {
                    return;
                }
                const duration total = timers.now() - current.since;
                ++totals_[current.domain].ended;
                totals_[current.domain].response_ms_sum +=
                    std::chrono::duration<double, std::milli>(total).count();
                totals_[current.domain].on_time += total <= objective ? 1 : 0;
            });
    };
    timers.schedule_after(way, [this, index, ended = std::move(ended)] { arrive(index, ended); });
}

void overflow_fleet::arrive(std::size_t target, const std::function<void(duration)>& ended)
{
    simulated_target& self = targets_[target];
    ++self.arrivals;
    if (timers.now() < self.cold_until)
    {
        self.cold_arrivals.push_back(timers.now());
    }
    const time_point since = timers.now();
    auto begin = [this, target, since, ended]
    { start(target, [this, since, ended](duration) { ended(timers.now() - since); }); };
    if (self.running < slots)
    {
        begin();
    }
    else if (self.queue.size() < queue_limit)
    {
        self.queue.emplace_back(std::move(begin));
    }
    else
    {
        // Zero: not executed.
        ended(duration::zero());
    }
}

double overflow_fleet::slowdown(const simulated_target& target) const
{
    const auto span = static_cast<std::uint64_t>(timers.now().time_since_epoch() / slow_span);
    const bool slow = split_mix(target.phase ^ span * 0x9e3779b97f4a7c15).next() % 10 < 3;
    return (slow ? 5.0 : 1.0) * domain_slowdown_[target.domain];
}

void overflow_fleet::start(std::size_t target, std::function<void(duration)> ended)
{
    simulated_target& self = targets_[target];
    ++self.running;
    const bool nearly_full = self.running > 0.8 * slots;
    const auto time = std::chrono::duration_cast<duration>(
        work * slowdown(self) * (nearly_full ? 1.7 : 1.0) * (0.75 + 0.5 * uniform()));
    timers.schedule_after(
        time,
        [this, target, time, ended = std::move(ended)]
        {
            simulated_target& at = targets_[target];
            --at.running;
            if (!at.queue.empty())
            {
                const auto next = std::move(at.queue.front());
                at.queue.erase(at.queue.begin());
                next();
            }
            ended(time);
        });
}

overflow_totals overflow_fleet::total() const
{
    overflow_totals all;
    for (const overflow_totals& each : totals_)
    {
        all += each;
    }
    return all;
}

} // namespace catkintally::core
