#include "support/scripted_target.hpp"

#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/targets/target_connection.hpp>

#include <catch2/catch.hpp>

#include <event2/event.h>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

// Guards against a connection that comes up just after it was given up. On the bench, slow
// instances ended with status 1 because they then sent a request that no longer existed.
TEST_CASE("a connection that comes up after its time limit sends nothing")
{
    runtime::event_loop loop;
    core::manual_timer_service timers;
    scripted_target target(loop, {});
    target_connection connection(loop, timers, {.connect_time = 300ms}, target.address());
    target_request request;
    request.method = "POST";
    request.uri = "/";
    request.may_send = [] { return true; };
    std::vector<dispatch_result> ends;
    connection.send(request, [&](const dispatch_end& end) { ends.push_back(end.result); });
    timers.advance(300ms);
    CHECK(ends == std::vector<dispatch_result>{dispatch_result::not_sent});
    while (target.accepted == 0)
    {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    for (int quiet = 0; quiet < 20; ++quiet)
    {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
    CHECK(target.begun == 0);
    CHECK(ends.size() == 1);
    CHECK_FALSE(connection.is_reusable());
}
