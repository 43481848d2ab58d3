#include "support/free_address.hpp"
#include "support/instance_fixture.hpp"

#include <catkintally/entry/process/instance_process.hpp>
#include <catkintally/entry/process/probing_process.hpp>

#include <catch2/catch.hpp>

#include <csignal>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

/// Settings of a process whose store is away.
runtime::settings settings_without_store()
{
    std::signal(SIGPIPE, SIG_IGN);
    runtime::settings values;
    values.instance = {.id = "a1", .failure_domain = "east"};
    values.callers.address = free_address();
    values.admin.address = free_address();
    values.peers.address = free_address();
    values.platform.addresses = {free_address()};
    values.stop.drain_ms = 50;
    values.stop.stop_limit_ms = 100;
    values.stop.grace_ms = 2000;
    return values;
}

/// Stops the process in the midst of everything else that a signal may ask for.
template <class Process>
void stop_repeatedly(
    runtime::event_loop& loop,
    core::timer_service& timers,
    Process& self,
    const std::function<void()>& disturb)
{
    REQUIRE(self.start());
    int stops = 0;
    const auto stop = [&]
    {
        ++stops;
        self.stop([&] { loop.stop(); });
    };
    timers.schedule_after(20ms, stop);
    timers.schedule_after(20ms, stop);
    for (auto at = 10ms; at < 100ms; at += 5ms)
    {
        timers.schedule_after(at, disturb);
    }
    timers.schedule_after(60ms, stop);
    loop.run();
    CHECK(stops >= 2);
}

} // namespace

// Guards against a stop that ends early, does not end, or ends the process by an error, because
// another signal comes in it, also while the store and all neighbours are away.
TEST_CASE("further signals do not disturb a stop")
{
    using runtime::platform_configuration;
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    runtime::settings values = settings_without_store();

    SECTION("instance that decides alone")
    {
        values.platform.configuration =
            GENERATE(platform_configuration::table, platform_configuration::objects);
        probing_process self(loop, timers, values, {});
        runtime::settings changed = values;
        stop_repeatedly(
            loop, timers, self,
            [&]
            {
                changed.platform.addresses = {free_address()};
                static_cast<void>(self.reload(changed));
            });
    }
    SECTION("instance of a fleet")
    {
        instance_process self(loop, timers, values);
        stop_repeatedly(loop, timers, self, [] {});
    }
}

// Guards against a store address that stays in use after the settings name the former one again.
TEST_CASE("store addresses can be changed back")
{
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    const runtime::settings first = settings_without_store();
    runtime::settings second = first;
    second.platform.addresses = {free_address()};
    probing_process self(loop, timers, first, {});
    const std::vector<std::string> applied{"platform.addresses"};
    CHECK(self.reload(first).empty());
    CHECK(self.reload(second) == applied);
    CHECK(self.reload(second).empty());
    CHECK(self.reload(first) == applied);
}
