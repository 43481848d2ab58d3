#include <catkintally/runtime/time/run_until.hpp>

#include <event2/event.h>

namespace catkintally::runtime
{

bool run_until(
    event_loop& loop,
    core::timer_service& timers,
    const std::function<bool()>& done,
    core::duration limit)
{
    bool expired = false;
    const auto timer = timers.schedule_after(limit, [&expired] { expired = true; });
    while (!done() && !expired)
    {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    timers.cancel(timer);
    return done();
}

} // namespace catkintally::runtime
