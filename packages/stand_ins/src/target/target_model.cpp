#include <catkintally/stand_ins/target/target_model.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkintally::stand_ins
{

namespace
{

using std::chrono::milliseconds;

/// Shape of the Pareto distribution of service times; below 2 the variance is unbounded, which the
/// cap of 30 times the scale bounds again.
constexpr double tail_shape = 1.5;
constexpr double tail_cap = 30.0;
/// A collapsed cold target needs this many times longer, for this long after the overload.
constexpr double collapse_factor = 5.0;
constexpr core::duration collapse_time = milliseconds(200);
constexpr core::duration cold_refusal_delay = milliseconds(20);
constexpr core::duration stale_age = milliseconds(500);

} // namespace

target_model::target_model(target_options options, core::timer_service& timers, target_log& log)
    : options_(std::move(options))
    , timers_(timers)
    , log_(log)
    , random_(options_.seed)
    , cold_(options_.start_cold)
{
    log_.of(options_.name);
}

target_model::~target_model()
{
    for (const auto& [id, timer] : timers_in_use_)
    {
        timers_.cancel(timer);
    }
}

core::timer_id target_model::schedule(core::duration delay, std::function<void()> callback)
{
    const std::uint64_t id = next_timer_++;
    timers_in_use_[id] = timers_.schedule_after(
        delay,
        [this, id, callback = std::move(callback)]
        {
            timers_in_use_.erase(id);
            callback();
        });
    return id;
}

std::uint64_t target_model::submit(target_request request)
{
    const std::uint64_t handle = next_handle_++;
    if (failing_)
    {
        request.answer({.status = 500});
        return handle;
    }
    if (cold_ && running_.size() >= options_.cold_capacity)
    {
        refuse_cold(std::move(request));
        return handle;
    }
    const bool expired = request.deadline && *request.deadline <= core::duration::zero();
    if (options_.reset_when_full && is_full())
    {
        ++log_.of(options_.name).reset_full;
        schedule(
            core::duration::zero(),
            [answer = std::move(request.answer)] { answer({.reset = true}); });
        return handle;
    }
    if (shedding_ || expired || is_full())
    {
        ++log_.of(options_.name).shed;
        request.answer({.status = options_.shed_status, .not_run = true});
        return handle;
    }
    const core::time_point deadline =
        request.deadline ? timers_.now() + *request.deadline : core::time_point::max();
    waiting_.emplace(handle, work{.request = std::move(request), .deadline = deadline});
    queue_.push_back(handle);
    start_queued();
    return handle;
}

bool target_model::is_full() const
{
    const std::size_t queue = options_.queue.value_or(options_.slots);
    return running_.size() + queue_.size() >= options_.slots + queue;
}

void target_model::refuse_cold(target_request request)
{
    // The overload costs the target its progress, and everything it runs takes longer.
    ++log_.of(options_.name).refused_cold;
    successes_ = 0;
    collapsed_until_ = timers_.now() + collapse_time;
    close_next_ = !close_next_;
    schedule(
        cold_refusal_delay, [answer = std::move(request.answer), close = close_next_]
        { answer({.status = 503, .close = close}); });
}

void target_model::start_queued()
{
    while (!queue_.empty() && running_.size() < options_.slots)
    {
        const std::uint64_t handle = queue_.front();
        queue_.pop_front();
        start(handle);
    }
}

void target_model::start(std::uint64_t handle)
{
    auto node = waiting_.extract(handle);
    if (node.mapped().deadline <= timers_.now())
    {
        ++log_.of(options_.name).shed;
        node.mapped().request.answer({.status = options_.shed_status, .not_run = true});
        return;
    }
    work& started = running_.emplace(handle, std::move(node.mapped())).first->second;
    log_.note_start(options_.name, started.request.key, started.request.request_id);

    // Record the extremes that the invariants are checked against.
    target_log::counters& counters = log_.of(options_.name);
    counters.max_running = std::max<std::uint64_t>(counters.max_running, running_.size());
    if (cold_)
    {
        counters.max_running_cold =
            std::max<std::uint64_t>(counters.max_running_cold, running_.size());
    }
    if (draining_ || watched_)
    {
        ++counters.started_after_drain;
        counters.last_start_after_drain_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(timers_.now() - drained_at_).count());
    }

    const bool crashes = !options_.crash_text.empty() &&
                         started.request.path.find(options_.crash_text) != std::string::npos;
    core::duration length = draw_service_time();
    if (crashes)
    {
        started.timer = schedule(length, [this] { crash(); });
        return;
    }
    // Cancellable work stops at its deadline; other work runs to its end once it has started.
    if (started.request.cancellable && started.deadline != core::time_point::max())
    {
        length = std::min(length, started.deadline - timers_.now());
    }
    started.timer = schedule(length, [this, handle] { finish(handle); });
}

void target_model::finish(std::uint64_t handle)
{
    auto node = running_.extract(handle);
    const bool late = node.mapped().request.cancellable && timers_.now() >= node.mapped().deadline;
    if (late)
    {
        ++log_.of(options_.name).cancelled;
        node.mapped().request.answer({.status = 504});
    }
    else
    {
        log_.note_finish(options_.name, node.mapped().request.key);
        if (cold_ && ++successes_ >= options_.warm_after)
        {
            cold_ = false;
        }
        node.mapped().request.answer({});
    }
    start_queued();
}

void target_model::cancel(std::uint64_t handle)
{
    if (waiting_.erase(handle) > 0)
    {
        std::erase(queue_, handle);
        return;
    }
    const auto found = running_.find(handle);
    if (found == running_.end())
    {
        return;
    }
    if (!found->second.request.cancellable)
    {
        // The work goes on, but nobody receives its result.
        found->second.request.answer = [](target_answer) {};
        return;
    }
    const auto timer = timers_in_use_.find(found->second.timer);
    if (timer != timers_in_use_.end())
    {
        timers_.cancel(timer->second);
        timers_in_use_.erase(timer);
    }
    ++log_.of(options_.name).cancelled;
    running_.erase(found);
    start_queued();
}

void target_model::crash()
{
    if (down_)
    {
        return;
    }
    ++log_.of(options_.name).crashes;
    for (const auto& [id, timer] : timers_in_use_)
    {
        timers_.cancel(timer);
    }
    timers_in_use_.clear();
    running_.clear();
    waiting_.clear();
    queue_.clear();
    down_ = true;
    make_cold();
    if (down_changed)
    {
        down_changed(true);
    }
    schedule(
        options_.down_time,
        [this]
        {
            down_ = false;
            if (down_changed)
            {
                down_changed(false);
            }
        });
}

void target_model::make_cold()
{
    cold_ = true;
    successes_ = 0;
}

void target_model::set_slow(double factor, core::duration length)
{
    slow_factor_ = factor;
    slow_until_ = timers_.now() + length;
}

void target_model::set_draining(bool draining)
{
    draining_ = draining;
    drained_at_ = timers_.now();
}

void target_model::watch_starts(bool watched)
{
    watched_ = watched;
    drained_at_ = timers_.now();
}

core::duration target_model::draw_service_time()
{
    // 53 random bits give the same value with every standard library.
    const double uniform = static_cast<double>(random_() >> 11) * 0x1.0p-53;
    double scale = std::min(0.5 * std::pow(1.0 - uniform, -1.0 / tail_shape), tail_cap);
    if (timers_.now() < slow_until_)
    {
        scale *= slow_factor_;
    }
    if (timers_.now() < collapsed_until_)
    {
        scale *= collapse_factor;
    }
    return core::duration(
        static_cast<std::int64_t>(scale * static_cast<double>(options_.service_time.count())));
}

std::string target_model::state_text() const
{
    const char* phase = draining_ ? "draining" : cold_ ? "cold" : "warm";
    return "running=" + std::to_string(running_.size()) +
           " queued=" + std::to_string(queue_.size()) + " phase=" + phase;
}

std::string target_model::load_report()
{
    switch (report_)
    {
    case report_mode::honest:
        return state_text();
    case report_mode::misleading:
        return "running=0 queued=0 phase=warm";
    case report_mode::stale:
        break;
    }
    if (stale_report_.empty() || timers_.now() - stale_at_ >= stale_age)
    {
        const std::string previous = stale_report_;
        stale_report_ = state_text();
        stale_at_ = timers_.now();
        return previous.empty() ? stale_report_ : previous;
    }
    return stale_report_;
}

} // namespace catkintally::stand_ins
