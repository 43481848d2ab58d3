#include <catkintally/entry/http/quota_gate.hpp>

#include <utility>

namespace catkintally::entry
{

quota_gate::quota_gate(core::timer_service& timers, const quota_hooks& hooks)
    : timers_(timers)
    , hooks_(hooks)
{
}

void quota_gate::enter(
    pending_request& call,
    const std::string& organisation,
    core::duration longest_wait,
    way_out out)
{
    if (!hooks_.take || organisation.empty())
    {
        out.start(core::duration::zero());
        return;
    }
    const request_number number = next_number_++;
    waiting_.emplace(
        number,
        waiting_request{
            .organisation = organisation, .entered_at = timers_.now(), .out = std::move(out)});
    call.on_disconnect([this, number] { give_up(number); });
    hooks_.take(
        organisation, longest_wait,
        [this, number, organisation](const core::quota_decision& decision)
        {
            if (waiting_.contains(number))
            {
                decide(number, decision);
            }
            else if (decision.admitted)
            {
                // Given up while a token was on its way.
                hooks_.refund(organisation);
            }
        });
}

void quota_gate::decide(request_number number, const core::quota_decision& decision)
{
    if (!decision.admitted)
    {
        remove(number).out.refuse(decision.retry_after);
        return;
    }
    waiting_request& admitted = waiting_.at(number);
    admitted.has_token = true;
    const auto start = [this, number]
    {
        const waiting_request started = remove(number);
        started.out.start(timers_.now() - started.entered_at);
    };
    if (decision.wait <= core::duration::zero())
    {
        start();
        return;
    }
    admitted.timer = timers_.schedule_after(decision.wait, start);
}

quota_gate::waiting_request quota_gate::remove(request_number number)
{
    const auto found = waiting_.find(number);
    waiting_request removed = std::move(found->second);
    waiting_.erase(found);
    timers_.cancel(removed.timer);
    return removed;
}

void quota_gate::give_up(request_number number)
{
    if (!waiting_.contains(number))
    {
        return;
    }
    const waiting_request removed = remove(number);
    if (removed.has_token)
    {
        hooks_.refund(removed.organisation);
    }
    removed.out.give_up();
}

void quota_gate::give_up_all()
{
    while (!waiting_.empty())
    {
        give_up(waiting_.begin()->first);
    }
}

} // namespace catkintally::entry
