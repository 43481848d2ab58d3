#include <catkintally/core/admission/service_admission.hpp>

#include <algorithm>
#include <cassert>

namespace catkintally::core
{

service_admission::service_admission(service_admission_options options)
    : options_(std::move(options))
{
    assert(options_.timers && options_.decide);
}

service_admission::~service_admission() = default;

void service_admission::apply(const service_config& config, const table_snapshot& table)
{
    config_ = config;
    for (auto& target : targets_)
    {
        const auto row = std::find_if(
            config.targets.begin(), config.targets.end(),
            [&](const target_row& candidate) { return candidate.name == target->row().name; });
        if (row == config.targets.end())
        {
            target->update(target->row(), false);
        }
    }
    for (const target_row& row : config.targets)
    {
        if (!find(row.name))
        {
            targets_.push_back(std::make_unique<target_admission>(row));
        }
        find(row.name)->update(
            row, row.state == target_admin_state::in && row.weight > 0 &&
                     !table.is_out(row.failure_domain));
    }
    place_queued();
}

void service_admission::submit(const admission_request& request)
{
    if (const auto known = grants_.find(request.id); known != grants_.end())
    {
        options_.decide(
            {.id = request.id,
             .instance = request.instance,
             .code = decision_code::granted,
             .target = known->second.target,
             .retry_after = {}});
        return;
    }
    if (target_admission* target = choose(request))
    {
        grant_place(request, *target);
    }
    else if (queue_.size() >= config_.service.queue_limit)
    {
        refuse(request, decision_code::refused_queue_full, std::chrono::seconds(1));
    }
    else
    {
        queue_.push(
            {.request = request,
             .work = config_.service.work,
             .deadline = options_.timers->now() + request.deadline_left});
    }
}

void service_admission::cancel(request_id id)
{
    queue_.remove(id);
    if (const auto known = grants_.find(id); known != grants_.end())
    {
        if (target_admission* target = find(known->second.target))
        {
            target->remove(id);
        }
        grants_.erase(known);
        place_queued();
    }
}

void service_admission::complete(const completion_report& report)
{
    const auto known = grants_.find(report.id);
    if (known == grants_.end() || known->second.target != report.target)
    {
        return;
    }
    grants_.erase(known);
    if (target_admission* target = find(report.target))
    {
        target->remove(report.id);
        if (report.outcome == completion_outcome::answered)
        {
            target->succeeded();
        }
        else if (report.outcome != completion_outcome::cancelled)
        {
            target->set_cold();
        }
        if (options_.phase_changed)
        {
            options_.phase_changed(report.target);
        }
    }
    place_queued();
}

void service_admission::restore_grant(
    request_id id, const std::string& target, duration deadline_left)
{
    if (grants_.contains(id))
    {
        return;
    }
    if (!find(target))
    {
        target_row row;
        row.name = target;
        targets_.push_back(std::make_unique<target_admission>(row));
    }
    grants_[id] = {.target = target, .expires = options_.timers->now() + deadline_left};
    find(target)->add(id);
}

void service_admission::restore_phase(
    const std::string& target, target_phase phase, std::uint32_t limit)
{
    if (target_admission* known = find(target))
    {
        known->restore(phase, limit);
    }
}

void service_admission::block_cold_until(time_point until)
{
    cold_blocked_until_ = until;
}

std::vector<admission_request> service_admission::take_queue()
{
    std::vector<admission_request> requests;
    for (queued_request& entry : queue_.take_all())
    {
        requests.push_back(std::move(entry.request));
    }
    return requests;
}

std::vector<wire::target_state_data> service_admission::phases() const
{
    std::vector<wire::target_state_data> states;
    for (const auto& target : targets_)
    {
        wire::target_state_data state;
        state.target = target->row().name;
        state.phase = target->phase();
        state.limit = target->limit(0);
        state.address = target->row().address;
        states.push_back(std::move(state));
    }
    return states;
}

service_admission_dump service_admission::dump() const
{
    service_admission_dump copy;
    copy.service = options_.service;
    copy.version = config_.version;
    copy.decisions = decisions_;
    return copy;
}

void service_admission::place_queued()
{
    while (true)
    {
        target_admission* target = nullptr;
        const auto entry = queue_.pop(
            [&](const queued_request& waiting)
            {
                target = choose(waiting.request);
                return target != nullptr;
            });
        if (!entry)
        {
            return;
        }
        grant_place(entry->request, *target);
    }
}

void service_admission::grant_place(const admission_request& request, target_admission& target)
{
    target.add(request.id);
    grants_[request.id] = {
        .target = target.row().name, .expires = options_.timers->now() + request.deadline_left};
    ++decisions_[static_cast<std::size_t>(decision_code::granted)];
    options_.decide(
        {.id = request.id,
         .instance = request.instance,
         .code = decision_code::granted,
         .target = target.row().name,
         .retry_after = {}});
}

void service_admission::refuse(
    const admission_request& request, decision_code code, duration retry_after)
{
    ++decisions_[static_cast<std::size_t>(code)];
    options_.decide(
        {.id = request.id,
         .instance = request.instance,
         .code = code,
         .target = {},
         .retry_after = retry_after});
}

target_admission* service_admission::choose(const admission_request& request)
{
    target_admission* best = nullptr;
    double best_load = 0;
    for (auto& target : targets_)
    {
        const auto& excluded = request.excluded_targets;
        if (!target->available() || target->in_flight() >= target->limit(config_.service.ahead) ||
            std::find(excluded.begin(), excluded.end(), target->row().name) != excluded.end())
        {
            continue;
        }
        const double load = (target->in_flight() + 1.0) /
                            (static_cast<double>(target->row().slots) * target->row().weight);
        if (!best || load < best_load)
        {
            best = target.get();
            best_load = load;
        }
    }
    return best;
}

target_admission* service_admission::find(const std::string& name)
{
    const auto found = std::find_if(
        targets_.begin(), targets_.end(),
        [&](const auto& target) { return target->row().name == name; });
    return found == targets_.end() ? nullptr : found->get();
}

} // namespace catkintally::core
