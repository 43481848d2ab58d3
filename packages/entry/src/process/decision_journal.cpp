#include <catkintally/entry/process/decision_journal.hpp>

#include <charconv>
#include <utility>

namespace catkintally::entry
{

decision_journal::decision_journal(core::timer_service& timers, std::size_t capacity)
    : timers_(timers)
    , capacity_(capacity)
{
}

core::admission_gateway decision_journal::record(const core::admission_gateway& inner)
{
    core::admission_gateway recorded = inner;
    recorded.ask =
        [this, ask = inner.ask](
            core::admission_request request, std::function<void(core::admission_answer)> done)
    {
        const core::request_id id = request.id;
        const std::string service = request.service;
        add(
            {.id = id,
             .at = timers_.now(),
             .service = service,
             .kind = "asked",
             .result = request.retry ? "retry" : "first",
             .target = {}});
        ask(std::move(request),
            [this, id, service, done = std::move(done)](core::admission_answer answer)
            {
                add(
                    {.id = id,
                     .at = timers_.now(),
                     .service = service,
                     .kind = "decided",
                     .result = wire::EnumNamedecision_code(answer.code),
                     .target = answer.target});
                done(std::move(answer));
            });
    };
    recorded.complete = [this, complete = inner.complete](
                            const core::completion_report& report,
                            std::shared_ptr<const core::stored_answer> answer)
    {
        add(
            {.id = report.id,
             .at = timers_.now(),
             .service = report.service,
             .kind = "completed",
             .result = wire::EnumNamecompletion_outcome(report.outcome),
             .target = report.target});
        complete(report, std::move(answer));
    };
    return recorded;
}

boost::json::array decision_journal::find(const std::string& id) const
{
    core::request_id wanted = 0;
    boost::json::array found;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), wanted, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != id.data() + id.size())
    {
        return found;
    }
    for (const step& each : steps_)
    {
        if (each.id != wanted)
        {
            continue;
        }
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(timers_.now() - each.at);
        boost::json::object entry{
            {"age_ms", age.count()},
            {"service", each.service},
            {"step", each.kind},
            {"result", each.result}};
        if (!each.target.empty())
        {
            entry["target"] = each.target;
        }
        found.push_back(std::move(entry));
    }
    return found;
}

void decision_journal::add(step added)
{
    if (steps_.size() == capacity_)
    {
        steps_.pop_front();
    }
    steps_.push_back(std::move(added));
}

} // namespace catkintally::entry
