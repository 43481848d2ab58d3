#include <catkintally/core/admission/local_gateway.hpp>

#include <catkintally/core/admission/target_set.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{
namespace
{

/// Equal to the validity of a grant by an owner.
constexpr duration grant_validity = std::chrono::milliseconds(200);

} // namespace

local_gateway::local_gateway(local_gateway_options options)
    : options_(options)
    , random_(options.seed)
{
    assert(options_.timers);
}

admission_gateway local_gateway::gateway()
{
    return {
        .ask = [this](
                   const admission_request& request,
                   const std::function<void(admission_answer)>& answer) { ask(request, answer); },
        .cancel = [this](request_id id) { release(id); },
        .may_send = [this](request_id id) { return may_send(id); },
        .complete =
            [this](const completion_report& report, const std::shared_ptr<const stored_answer>&)
        { release(report.id); }};
}

std::uint32_t local_gateway::in_flight(const std::string& service, const std::string& target) const
{
    const auto found = counts_.find({service, target});
    return found == counts_.end() ? 0 : found->second;
}

void local_gateway::ask(
    const admission_request& request, const std::function<void(admission_answer)>& answer)
{
    release(request.id);
    const target_row* target = choose(request);
    if (!target)
    {
        answer(
            {.code = decision_code::refused_no_target,
             .claim = run_claim::not_run,
             .target = {},
             .address = {},
             .send_before = {},
             .retry_after = std::chrono::seconds(1),
             .replay = {}});
        return;
    }
    const target_key key(request.service, target->name);
    grants_[request.id] = key;
    ++counts_[key];
    answer(
        {.code = decision_code::granted,
         .claim = run_claim::not_run,
         .target = target->name,
         .address = target->address,
         .send_before = options_.timers->now() + grant_validity,
         .retry_after = {},
         .replay = {}});
}

const target_row* local_gateway::choose(const admission_request& request)
{
    const auto service = table_.services.find(request.service);
    if (service == table_.services.end())
    {
        return nullptr;
    }
    std::vector<const target_row*> usable;
    for (const target_row& row : service->second.targets)
    {
        const auto& excluded = request.excluded_targets;
        if (takes_new_work(row, table_) &&
            std::find(excluded.begin(), excluded.end(), row.name) == excluded.end())
        {
            usable.push_back(&row);
        }
    }
    if (usable.empty())
    {
        return nullptr;
    }
    const auto less_loaded = [&](const target_row* left, const target_row* right)
    { return load(request.service, *left) < load(request.service, *right); };

    switch (options_.mode)
    {
    case baseline_mode::round_robin:
    {
        // A random start position spreads the instances over the targets.
        const auto position = next_positions_.try_emplace(request.service, random_.next()).first;
        return usable[position->second++ % usable.size()];
    }
    case baseline_mode::two_choices:
    {
        const std::size_t first = random_.next() % usable.size();
        const std::size_t step = usable.size() == 1 ? 0 : 1 + random_.next() % (usable.size() - 1);
        return std::min(usable[first], usable[(first + step) % usable.size()], less_loaded);
    }
    case baseline_mode::least_in_flight:
        // Breaks ties at random: min_element keeps the first of equal targets, so the order is
        // rotated by a random offset.
        std::rotate(
            usable.begin(),
            usable.begin() + static_cast<std::ptrdiff_t>(random_.next() % usable.size()),
            usable.end());
        return *std::min_element(usable.begin(), usable.end(), less_loaded);
    }
    return nullptr;
}

double local_gateway::load(const std::string& service, const target_row& row) const
{
    return (in_flight(service, row.name) + 1.0) / (static_cast<double>(row.slots) * row.weight);
}

bool local_gateway::may_send(request_id id) const
{
    const auto grant = grants_.find(id);
    if (grant == grants_.end())
    {
        return false;
    }
    const auto service = table_.services.find(grant->second.first);
    return service != table_.services.end() &&
           std::any_of(
               service->second.targets.begin(), service->second.targets.end(),
               [&](const target_row& row)
               { return row.name == grant->second.second && takes_new_work(row, table_); });
}

void local_gateway::release(request_id id)
{
    if (const auto grant = grants_.find(id); grant != grants_.end())
    {
        --counts_[grant->second];
        grants_.erase(grant);
    }
}

} // namespace catkintally::core
