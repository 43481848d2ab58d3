#include <catkintally/core/fleet/recovery.hpp>

#include <catkintally/core/fleet/placement.hpp>
#include <catkintally/core/idempotency/key_registry.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

namespace
{

/// Repeats while answers are awaited; later repeats only serve members that return.
constexpr duration fast_repeat = milliseconds(50);
constexpr duration slow_repeat = milliseconds(500);
constexpr int most_rounds = 20;

/// The colder of two states of one target; slow and ejected targets are admitted like cold ones.
bool colder(const wire::target_state_data& left, const wire::target_state_data& right)
{
    const bool left_warm = left.phase == wire::target_phase::warm;
    const bool right_warm = right.phase == wire::target_phase::warm;
    return left_warm != right_warm ? right_warm : left.limit < right.limit;
}

} // namespace

recovery::recovery(recovery_options options)
    : options_(std::move(options))
{
}

recovery::~recovery()
{
    options_.timers->cancel(retry_timer_);
    options_.timers->cancel(end_timer_);
}

void recovery::start()
{
    for (const member& entry : options_.current.members)
    {
        awaited_.insert(entry.id);
    }
    end_timer_ = options_.timers->schedule_after(recovery_timeout, [this] { finish(); });
    ask_missing();
}

void recovery::ask_missing()
{
    ++rounds_;
    const auto missing = [&](const member_id& id) { return !answers_.contains(id); };
    std::vector<member_id> asked;
    std::copy_if(awaited_.begin(), awaited_.end(), std::back_inserter(asked), missing);
    std::copy_if(
        options_.removed.begin(), options_.removed.end(), std::back_inserter(asked), missing);
    if (asked.empty() || rounds_ > most_rounds)
    {
        return;
    }
    retry_timer_ = options_.timers->schedule_after(
        finished_ ? slow_repeat : fast_repeat, [this] { ask_missing(); });
    for (const member_id& id : asked)
    {
        options_.ask(id);
    }
}

void recovery::reply(const member_id& from, const wire::recover_reply_data& data)
{
    if (data.epoch < options_.current.epoch ||
        !answers_.emplace(from, answer{.received = options_.timers->now(), .data = data}).second)
    {
        return;
    }
    if (finished_)
    {
        // Earlier answers are out of date by now: requests they name may have ended since.
        options_.done(merge({{from, answers_.at(from)}}));
        return;
    }
    finish_if_complete();
}

void recovery::finish_if_complete()
{
    if (std::all_of(
            awaited_.begin(), awaited_.end(),
            [&](const member_id& id) { return answers_.contains(id); }))
    {
        finish();
    }
}

void recovery::finish()
{
    if (!finished_)
    {
        finished_ = true;
        options_.timers->cancel(end_timer_);
        options_.done(merge(answers_));
    }
}

complete_epochs recovery::reported_epochs() const
{
    complete_epochs epochs;
    for (const auto& [from, reply] : answers_)
    {
        epochs[from] = reply.data.complete_epoch;
    }
    return epochs;
}

recovery_result recovery::merge(const answers& merged) const
{
    recovery_result result;
    for (const auto& [from, reply] : merged)
    {
        for (const auto& grant : reply.data.grants)
        {
            result.grants.push_back(
                {.id = grant->request_id,
                 .target = grant->target,
                 .deadline_left = duration(grant->deadline_us),
                 .key = grant->key,
                 .dispatcher = from});
        }
    }
    result.proven =
        record_set_proven(options_.current, options_.service, reported_epochs(), options_.expired);
    const auto replied = [&](const member_id& id) { return answers_.contains(id); };
    result.all_replied = std::all_of(awaited_.begin(), awaited_.end(), replied) &&
                         std::all_of(options_.removed.begin(), options_.removed.end(), replied);
    merge_records(result, merged);
    merge_phases(result, merged);
    return result;
}

void recovery::merge_records(recovery_result& result, const answers& merged_answers) const
{
    std::uint64_t newest = 0;
    for (const auto& [from, epoch] : reported_epochs())
    {
        newest = std::max(newest, epoch);
    }
    // Records of keepers of an older complete set were superseded by the newest complete set; a key
    // that was released as not run since then would come back with them.
    key_registry merged({.capacity = 0, .retention = {}});
    std::set<std::pair<member_id, request_id>> confirmed;
    for (const auto& [from, reply] : merged_answers)
    {
        const bool keeper = !result.proven || reply.data.complete_epoch == newest;
        for (const auto& data : reply.data.records)
        {
            const bool own = data->dispatcher == to_text(from);
            if (own)
            {
                confirmed.emplace(from, data->request_id);
            }
            if (own || keeper)
            {
                merged.merge(from_wire(*data, reply.received));
            }
        }
    }
    merged.for_each(
        [&](const idempotency_record& record)
        {
            // The dispatcher has adopted this epoch and does not know the grant: it never used it,
            // and it refuses it from now on.
            const auto dispatcher = std::find_if(
                merged_answers.begin(), merged_answers.end(),
                [&](const auto& entry) { return to_text(entry.first) == record.dispatcher; });
            const bool unused = record.state <= key_state::granted &&
                                dispatcher != merged_answers.end() &&
                                !confirmed.contains({dispatcher->first, record.request});
            if (!unused)
            {
                result.records.push_back(record);
            }
        });
}

void recovery::merge_phases(recovery_result& result, const answers& merged_answers)
{
    // Members report phases only while they are current, so any report counts; of two reports for
    // one target, the colder one does.
    std::map<std::string, wire::target_state_data> states;
    for (const auto& [from, reply] : merged_answers)
    {
        for (const auto& data : reply.data.targets)
        {
            const auto [known, added] = states.emplace(data->target, *data);
            if (!added && colder(*data, known->second))
            {
                known->second = *data;
            }
        }
    }
    for (auto& [target, state] : states)
    {
        result.phases.push_back(std::move(state));
    }
}

} // namespace catkintally::core
