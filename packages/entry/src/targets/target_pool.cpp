#include <catkintally/entry/targets/target_pool.hpp>
#include <catkintally/runtime/log/event_log.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace catkintally::entry
{

namespace
{

/// Refused requests remembered for each target. A request comes again within a few attempts.
constexpr std::size_t max_noted_refusals = 256;

} // namespace

target_pool::target_pool(
    runtime::event_loop& loop,
    core::timer_service& timers,
    target_limits limits,
    runtime::metrics_registry& metrics)
    : loop_(loop)
    , timers_(timers)
    , limits_(std::move(limits))
    , opened_(metrics.counter("catkintally_target_connections_opened_total"))
    , reused_(metrics.counter("catkintally_target_connections_reused_total"))
    , closed_(metrics.counter("catkintally_target_connections_closed_total"))
    , unknown_headers_(limits_.known_headers, metrics)
{
    close_stale();
}

target_pool::~target_pool()
{
    timers_.cancel(close_stale_timer_);
    timers_.cancel(retire_timer_);
    for (auto& [id, entry] : active_)
    {
        timers_.cancel(entry.start_timer);
    }
}

dispatch_id
target_pool::dispatch(const std::string& address, target_request request, dispatch_hook done)
{
    const dispatch_id id = next_id_++;
    active_dispatch& entry = active_[id];
    entry.address = address;
    entry.request = std::move(request);
    entry.done = std::move(done);
    start(id);
    return id;
}

void target_pool::start(dispatch_id id)
{
    active_dispatch& entry = active_.at(id);
    target_state& state = targets_[entry.address];
    if (!needs_new_connection(state, entry.request))
    {
        entry.connection = take_idle(state);
    }
    else if (!state.idle.empty() && state.busy + state.idle.size() >= limits_.connections)
    {
        retire(std::move(state.idle.front()));
        state.idle.erase(state.idle.begin());
    }
    if (!entry.connection && state.busy + state.idle.size() >= limits_.connections)
    {
        entry.start_timer = timers_.schedule_after(
            core::duration::zero(),
            [this, id]
            {
                dispatch_hook done = std::move(active_.at(id).done);
                active_.erase(id);
                done(
                    {.result = dispatch_result::not_sent,
                     .answer = {},
                     .detail = connection_limit_detail});
            });
        return;
    }
    if (!entry.connection)
    {
        opened_.add();
        entry.connection =
            std::make_unique<target_connection>(loop_, timers_, limits_, entry.address);
    }
    ++state.busy;
    entry.connection->send(
        entry.request,
        [this, id](dispatch_end result)
        {
            // A refused connection calls this inside send(), so the result is always delivered by a
            // timer. An abandoned connection may still report before it is destroyed.
            const auto found = active_.find(id);
            if (found != active_.end())
            {
                found->second.start_timer = timers_.schedule_after(
                    core::duration::zero(), [this, id, result = std::move(result)]() mutable
                    { end(id, std::move(result)); });
            }
        });
}

void target_pool::end(dispatch_id id, dispatch_end result)
{
    const auto found = active_.find(id);
    assert(found != active_.end());
    active_dispatch entry = std::move(found->second);
    active_.erase(found);
    target_state& state = targets_.at(entry.address);
    --state.busy;
    if (result.result == dispatch_result::answered && entry.connection->is_reusable())
    {
        state.idle.push_back(std::move(entry.connection));
    }
    else
    {
        retire(std::move(entry.connection));
    }
    if (result.result == dispatch_result::answered)
    {
        unknown_headers_.inspect(entry.address, result.answer->headers);
    }
    if (result.result == dispatch_result::lost)
    {
        log_lost(entry.address, state, result.detail);
    }
    entry.done(std::move(result));
}

void target_pool::log_lost(
    const std::string& address, target_state& state, const std::string& detail)
{
    if (!state.last_logged || timers_.now() - *state.last_logged >= std::chrono::seconds(1))
    {
        state.last_logged = timers_.now();
        log_event(
            runtime::event_id::target_answer_lost, {{"address", address}, {"detail", detail}});
    }
}

bool target_pool::is_sent(dispatch_id id) const
{
    const auto found = active_.find(id);
    return found != active_.end() && found->second.connection &&
           found->second.connection->is_sent();
}

bool target_pool::is_delivered(dispatch_id id) const
{
    const auto found = active_.find(id);
    return found != active_.end() && found->second.connection &&
           found->second.connection->is_delivered();
}

bool target_pool::has_ended(dispatch_id id) const
{
    const auto found = active_.find(id);
    return found != active_.end() && found->second.start_timer != 0;
}

void target_pool::abandon(dispatch_id id)
{
    const auto found = active_.find(id);
    if (found == active_.end())
    {
        return;
    }
    timers_.cancel(found->second.start_timer);
    if (found->second.connection)
    {
        --targets_.at(found->second.address).busy;
        retire(std::move(found->second.connection));
    }
    active_.erase(found);
}

void target_pool::note_refusal(const std::string& address, const std::string& request)
{
    const auto found = targets_.find(address);
    if (found == targets_.end() || found->second.idle.empty())
    {
        return;
    }
    auto& refused = found->second.refused;
    refused.push_back(request);
    if (refused.size() > max_noted_refusals)
    {
        refused.pop_front();
    }
}

bool target_pool::needs_new_connection(const target_state& state, const target_request& request)
{
    const auto& refused = state.refused;
    return request.new_connection ||
           (request.expected_echo &&
            std::find(refused.begin(), refused.end(), request.expected_echo->value) !=
                refused.end());
}

std::size_t target_pool::open_connections(const std::string& address) const
{
    const auto found = targets_.find(address);
    return found == targets_.end() ? 0 : found->second.busy + found->second.idle.size();
}

target_pool::connection_ptr target_pool::take_idle(target_state& state)
{
    // The most recently used connection is the least likely to have been closed by the target.
    while (!state.idle.empty())
    {
        connection_ptr connection = std::move(state.idle.back());
        state.idle.pop_back();
        if (timers_.now() <= connection->idle_until() && connection->is_reusable())
        {
            reused_.add();
            return connection;
        }
        retire(std::move(connection));
    }
    return nullptr;
}

void target_pool::retire(connection_ptr connection)
{
    // Destruction is deferred because callbacks of the connection may be on the stack.
    closed_.add();
    retired_.push_back(std::move(connection));
    if (retire_timer_ == 0)
    {
        retire_timer_ = timers_.schedule_after(
            core::duration::zero(),
            [this]
            {
                retire_timer_ = 0;
                retired_.clear();
            });
    }
}

void target_pool::close_stale()
{
    for (auto at = targets_.begin(); at != targets_.end();)
    {
        auto& idle = at->second.idle;
        const auto stale = std::partition(
            idle.begin(), idle.end(),
            [this](const connection_ptr& connection)
            { return timers_.now() <= connection->idle_until() && connection->is_reusable(); });
        std::for_each(
            stale, idle.end(),
            [this](connection_ptr& connection) { retire(std::move(connection)); });
        idle.erase(stale, idle.end());
        at = idle.empty() && at->second.busy == 0 ? targets_.erase(at) : std::next(at);
    }
    close_stale_timer_ = timers_.schedule_after(std::chrono::seconds(1), [this] { close_stale(); });
}

} // namespace catkintally::entry
