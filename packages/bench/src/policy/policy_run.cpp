#include <catkintally/bench/policy/policy_run.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::bench
{
namespace
{

using namespace std::chrono_literals;

/// One way between failure domains: half of the 0.5 ms round trip of design section 1.1.
constexpr core::duration far_hop = 250us;

/// One way within a failure domain.
constexpr core::duration near_hop = 50us;

constexpr std::uint32_t instances = 13;

/// Instance that owns the service.
constexpr std::uint32_t owner_instance = 0;

/// Deadline of every request.
constexpr core::duration deadline = 2s;

/// Start of the run that is not measured: the targets are cold and queues are empty.
constexpr core::duration warm_up = 5s;

} // namespace

double policy_result::quantile_ms(double share) const
{
    if (added.empty())
    {
        return 0;
    }
    const auto count = static_cast<double>(added.size());
    const auto position = static_cast<std::size_t>(std::ceil(share * count)) - 1;
    return static_cast<double>(added[std::min(position, added.size() - 1)].count()) / 1000;
}

policy_run::policy_run(const deployment& service, const workload& load, policy decides)
    : service_(service)
    , load_(load)
    , policy_(decides)
{
    // The table, and one fake target for each row.
    core::service_config config;
    config.service.name = service.name;
    config.service.work = service.work;
    config.service.probe_budget_per_s = 0;
    for (std::uint32_t number = 0; number < service.targets; ++number)
    {
        core::target_row row;
        row.name = std::to_string(number);
        row.failure_domain = std::to_string(number % service.domains);
        row.slots = service.slots;
        config.targets.push_back(row);
        targets_.push_back(
            std::make_unique<fake_target>(timers_, service.slots, load.windows[number]));
    }
    table_.services[service.name] = config;

    // The deciding parts.
    if (decides == policy::owner)
    {
        owner_ = std::make_unique<core::service_admission>(core::service_admission_options{
            .service = service.name,
            .timers = &timers_,
            .seed = 1,
            .decide = [this](const core::admission_decision& decision) { decided(decision); },
            .phase_changed = {},
            .probe = {}});
        owner_->apply(config, table_);
    }
    else if (decides != policy::oracle)
    {
        for (std::uint32_t instance = 0; instance < instances; ++instance)
        {
            locals_.push_back(std::make_unique<core::local_gateway>(core::local_gateway_options{
                .mode = static_cast<core::baseline_mode>(decides),
                .timers = &timers_,
                .seed = instance + 1}));
            locals_.back()->apply(table_);
        }
    }
}

policy_result policy_run::run()
{
    next_arrival();
    timers_.advance(load_.length + deadline + 1s);
    std::sort(result_.added.begin(), result_.added.end());
    if (owner_)
    {
        result_.owner_dump = owner_->dump();
    }
    return std::move(result_);
}

void policy_run::next_arrival()
{
    if (arrived_ < load_.arrivals.size())
    {
        timers_.schedule_after(
            load_.arrivals[arrived_].at - timers_.now(),
            [this]
            {
                const std::size_t number = arrived_++;
                next_arrival();
                arrive(number);
            });
    }
}

void policy_run::arrive(std::size_t number)
{
    switch (policy_)
    {
    case policy::owner:
        timers_.schedule_after(
            hop_to_owner(number), [this, number] { owner_->submit(request_for(number)); });
        break;
    case policy::oracle:
        oracle_queue_.push_back(number);
        serve_oracle_queue();
        break;
    default:
        locals_[load_.arrivals[number].instance]->gateway().ask(
            request_for(number),
            [this, number](const core::admission_answer& answer) { send(number, answer.target); });
        break;
    }
}

void policy_run::decided(const core::admission_decision& decision)
{
    const std::size_t number = decision.id - 1;
    if (decision.code == core::decision_code::granted)
    {
        timers_.schedule_after(
            hop_to_owner(number),
            [this, number, target = decision.target] { send(number, target); });
    }
    else
    {
        result_.refused += measured(number) ? 1 : 0;
    }
}

void policy_run::send(std::size_t number, const std::string& target)
{
    const std::size_t index = std::stoul(target);
    const auto domain = static_cast<std::uint32_t>(index) % service_.domains;
    const core::duration way = hop(domain_of(number), domain);
    const arrival& request = load_.arrivals[number];
    timers_.schedule_after(
        way,
        [this, number, target, index, way, &request]
        {
            targets_[index]->submit(
                request.work, request.at + deadline,
                [this, number, target, way](bool answered)
                {
                    timers_.schedule_after(
                        way,
                        [this, number, target, answered] { returned(number, target, answered); });
                });
        });
}

void policy_run::returned(std::size_t number, const std::string& target, bool answered)
{
    const arrival& request = load_.arrivals[number];
    if (measured(number) && answered)
    {
        result_.added.push_back(timers_.now() - request.at - request.work);
    }
    result_.timed_out += measured(number) && !answered ? 1 : 0;

    core::completion_report report;
    report.id = number + 1;
    report.target = target;
    report.outcome =
        answered ? core::completion_outcome::answered : core::completion_outcome::timed_out;
    if (policy_ == policy::owner)
    {
        timers_.schedule_after(hop_to_owner(number), [this, report] { owner_->complete(report); });
    }
    else
    {
        locals_[request.instance]->gateway().complete(report, nullptr);
    }
}

void policy_run::serve_oracle_queue()
{
    while (!oracle_queue_.empty())
    {
        // A free slot at full speed, or else one of a slow target if the wait would take longer
        // than what the slow target adds: three times the mean work.
        fake_target* chosen = nullptr;
        std::size_t fast_slots = 0;
        for (const auto& target : targets_)
        {
            fast_slots += target->slow() ? 0 : service_.slots;
            if (target->has_free_slot() && (!chosen || chosen->slow()))
            {
                chosen = target.get();
            }
        }
        if (!chosen || (chosen->slow() && oracle_queue_.size() <= 3 * fast_slots))
        {
            return;
        }
        const std::size_t number = oracle_queue_.front();
        oracle_queue_.pop_front();
        const arrival& request = load_.arrivals[number];
        chosen->submit(
            request.work, request.at + deadline,
            [this, number, &request](bool answered)
            {
                if (measured(number) && answered)
                {
                    result_.added.push_back(timers_.now() - request.at - request.work);
                }
                result_.timed_out += measured(number) && !answered ? 1 : 0;
                serve_oracle_queue();
            });
    }
}

core::duration policy_run::hop(std::uint32_t from_domain, std::uint32_t to_domain) const
{
    return from_domain == to_domain ? near_hop : far_hop;
}

std::uint32_t policy_run::domain_of(std::size_t number) const
{
    return load_.arrivals[number].instance % service_.domains;
}

core::duration policy_run::hop_to_owner(std::size_t number) const
{
    return load_.arrivals[number].instance == owner_instance
               ? core::duration::zero()
               : hop(domain_of(number), owner_instance % service_.domains);
}

core::admission_request policy_run::request_for(std::size_t number) const
{
    core::admission_request request;
    request.id = number + 1;
    request.service = service_.name;
    request.instance = std::to_string(load_.arrivals[number].instance);
    request.failure_domain = std::to_string(domain_of(number));
    request.idempotent = true;
    request.deadline_left = load_.arrivals[number].at + deadline - timers_.now();
    return request;
}

bool policy_run::measured(std::size_t number) const
{
    return load_.arrivals[number].at >= core::time_point{} + warm_up;
}

} // namespace catkintally::bench
