#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/stand_ins/platform/platform_stand_in.hpp>

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace
{

constexpr const char* usage = R"(Server with the platform's object API, for tests and measurements.

Prints "listening ADDRESS:PORT" when it is ready. GET /control shows its switches and counts, POST
/control sets them.

Usage:
  platform_stand_in [--address=IP] [--port=N] [--seed=N] [--writes=N] [--reads=N] [--history=N]
  platform_stand_in (-h | --help)

Options:
  --address=IP  Address to listen on [default: 127.0.0.1].
  --port=N      Port to listen on, 0 for a free one [default: 0].
  --seed=N      Seed of delays and lost answers [default: 1].
  --writes=N    Writes a second before calls are refused [default: 300].
  --reads=N     Reads a second before calls are refused [default: 2000].
  --history=N   Changes that a watch can look back on [default: 10000].
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace catkintally;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto number = [&](const char* name) { return std::stoul(arguments[name].asString()); };
    std::signal(SIGPIPE, SIG_IGN);
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    stand_ins::platform_stand_in_options options;
    try
    {
        options = {
            .address = arguments["--address"].asString(),
            .port = static_cast<std::uint16_t>(number("--port")),
            .seed = number("--seed"),
            .writes_per_s = static_cast<double>(number("--writes")),
            .reads_per_s = static_cast<double>(number("--reads")),
            .history_limit = number("--history")};
    }
    catch (const std::exception&)
    {
        std::cerr << "platform_stand_in: an option is not a number\n";
        return 2;
    }
    const stand_ins::platform_stand_in server(loop, timers, options);
    if (server.port() == 0)
    {
        std::cerr << "platform_stand_in: cannot listen on " << options.address << ':'
                  << options.port << '\n';
        return 1;
    }
    std::cout << "listening " << options.address << ':' << server.port() << std::endl;
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.on_signal(SIGINT, [&] { loop.stop(); });
    loop.run();
    return 0;
}
