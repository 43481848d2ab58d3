#include "shortage_model.hpp"

#include <algorithm>
#include <cmath>

namespace catkintally::core
{

namespace
{

using std::chrono::milliseconds;

constexpr const char* service_name = "desk";
constexpr duration probe_time = milliseconds(2);
constexpr duration rate_time = std::chrono::seconds(3);
constexpr duration max_time = std::chrono::seconds(10);

} // namespace

shortage_model::shortage_model(shortage_model_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , running_(options_.targets)
{
    timers_.advance(std::chrono::seconds(1));
    begin_ = timers_.now();
    for (const request_kind& each : options_.kinds)
    {
        add_arrivals(each);
    }
    for (std::size_t number = 0; number < options_.instances; ++number)
    {
        add_instance(number);
    }
}

double shortage_model::uniform()
{
    return (static_cast<double>(random_.next() >> 11U) + 1) * 0x1.0p-53;
}

double shortage_model::capacity() const
{
    double requests = 0;
    double work = 0;
    for (const request_kind& each : options_.kinds)
    {
        requests += each.per_second;
        work += each.per_second * std::chrono::duration<double>(each.work).count();
    }
    const double slots = std::floor(0.8 * options_.slots) * static_cast<double>(options_.targets);
    return slots * requests / work;
}

double shortage_model::probes_per_request() const
{
    double probes = 0;
    for (const auto& each : instances_)
    {
        probes += static_cast<double>(each->probes());
    }
    return probes / static_cast<double>(arrivals_.size());
}

void shortage_model::add_arrivals(const request_kind& kind)
{
    for (time_point at = begin_;;)
    {
        const bool surging =
            at >= begin_ + options_.length / 4 && at < begin_ + options_.length * 3 / 4;
        const double rate = kind.per_second * (surging ? kind.surge : 1);
        at += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(-std::log(uniform()) / rate));
        if (at >= begin_ + options_.length + options_.uncounted)
        {
            return;
        }
        arrivals_.emplace(
            at, call{
                    .kind = &kind,
                    .sent_at = at,
                    .work = std::chrono::duration_cast<duration>(kind.work * (0.5 + uniform())),
                    .draw = random_.next()});
    }
}

double shortage_model::slowdown(std::size_t target) const
{
    const auto interval =
        static_cast<std::uint64_t>(timers_.now().time_since_epoch() / milliseconds(150));
    split_mix draw(options_.seed * 1'000'003 + target * 100'003 + interval);
    return draw.next() % 10 < 3 ? 5 : 1;
}

void shortage_model::add_instance(std::size_t number)
{
    probing_gateway_options options;
    options.timers = &timers_;
    options.seed = options_.seed + number;
    options.failure_domain = "here";
    options.self = "i" + std::to_string(number);
    options.shortage_min_slots = options_.policy ? 4 : 1'000'000;
    options.fleet = [count = options_.instances] { return fleet_size{.near = count}; };
    options.probe = [this](
                        const service_config&, const target_row& row,
                        const std::function<void(probe_report)>& done)
    {
        const std::size_t target = std::stoul(row.name.substr(1));
        probe_report report;
        report.answered = true;
        report.healthy = true;
        report.name = row.name;
        report.load = load_report{
            .running = std::min(running_[target], options_.slots),
            .queued = running_[target] - std::min(running_[target], options_.slots),
            .slots = options_.slots,
            .slowdown = slowdown(target)};
        report.took = probe_time;
        timers_.schedule_after(probe_time, [done, report] { done(report); });
    };
    options.try_connect = [this](const target_row&, const std::function<void(bool)>& done)
    { timers_.schedule_after(probe_time, [done] { done(true); }); };
    if (options_.rates_known)
    {
        options.organisation_rate = [this](const std::string& organisation)
        {
            const std::chrono::duration<double> constant = rate_time;
            return std::optional(
                rates_.try_emplace(organisation, rate_time).first->second.at(timers_.now()) /
                constant.count());
        };
    }
    table_snapshot table;
    table.revision = 1;
    service_config& config = table.services[service_name];
    config.service.name = service_name;
    for (std::size_t target = 0; target < options_.targets; ++target)
    {
        target_row row;
        row.name = "t" + std::to_string(target);
        row.address = "10.0.0.1:" + std::to_string(target + 1);
        row.failure_domain = "here";
        row.slots = options_.slots;
        config.targets.push_back(row);
    }
    if (!options_.organisations.empty())
    {
        table.organisations = options_.organisations;
    }
    instances_.push_back(std::make_unique<probing_gateway>(std::move(options)));
    instances_.back()->apply(std::make_shared<const table_snapshot>(table));
}

std::map<std::string, kind_result> shortage_model::run()
{
    for (const auto& [at, sent] : arrivals_)
    {
        timers_.schedule_after(
            at - timers_.now(),
            [this, &sent = sent]
            {
                results_[sent.kind->name].sent += is_counted(sent) ? 1 : 0;
                rates_.try_emplace(sent.kind->organisation, rate_time)
                    .first->second.add(1, timers_.now());
                send(sent);
            });
    }
    const time_point end = begin_ + options_.length + options_.uncounted + max_time;
    while (timers_.now() < end)
    {
        timers_.advance(milliseconds(1));
    }
    return results_;
}

bool shortage_model::is_counted(const call& sent) const
{
    return sent.sent_at < begin_ + options_.length;
}

void shortage_model::send(const call& sent)
{
    const std::size_t instance = (sent.draw + (sent.returned ? 1 : 0)) % instances_.size();
    admission_request request;
    request.id = next_request_++;
    request.service = service_name;
    request.idempotent = true;
    request.priority = sent.kind->priority;
    request.organisation = sent.kind->organisation;
    // The instance knows only when the request reached it, not when its caller first sent it.
    request.objective_left = sent.kind->objective;
    request.fingerprint = sent.draw;
    const request_id id = request.id;
    instances_[instance]->gateway().ask(
        std::move(request),
        [this, sent, instance, id](const admission_answer& answer)
        {
            if (answer.code == decision_code::granted)
            {
                start_work(sent, instance, id, std::stoul(answer.target.substr(1)));
            }
            else if (!sent.returned)
            {
                call again = sent;
                again.returned = true;
                timers_.schedule_after(answer.retry_after, [this, again] { send(again); });
            }
        });
}

void shortage_model::start_work(
    const call& sent, std::size_t instance, request_id id, std::size_t target)
{
    ++running_[target];
    const bool nearly_full = running_[target] > 0.8 * options_.slots;
    const bool queued = running_[target] > options_.slots;
    const double factor =
        slowdown(target) * (nearly_full ? options_.nearly_full_factor : 1) * (queued ? 2 : 1);
    const auto work = std::chrono::duration_cast<duration>(sent.work * factor);
    timers_.schedule_after(
        work + probe_time,
        [this, sent, instance, id, target, work]
        {
            --running_[target];
            const bool on_time = timers_.now() - sent.sent_at <= sent.kind->objective;
            if (is_counted(sent))
            {
                kind_result& result = results_[sent.kind->name];
                ++result.served;
                result.on_time += on_time ? 1 : 0;
                result.worth += on_time ? sent.kind->worth : sent.kind->late_worth;
            }
            completion_report report;
            report.id = id;
            report.service = service_name;
            report.target = "t" + std::to_string(target);
            report.service_time = work;
            report.status = 200;
            instances_[instance]->gateway().complete(report, nullptr);
        });
}

} // namespace catkintally::core
