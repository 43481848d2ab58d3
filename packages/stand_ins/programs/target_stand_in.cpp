#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/stand_ins/target/target_control.hpp>

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace
{

constexpr const char* usage =
    R"(Targets for tests and measurements: many in one process, one port each.

Prints "listening FIRST-LAST" when ready. The targets are named PREFIX1, PREFIX2 and so on.
GET /log on the admin port shows what ran and how often; POST /control changes a target.

Usage:
  target_stand_in --first-port=N --admin-port=N [options]
  target_stand_in (-h | --help)

Options:
  --address=IP       Address to listen on [default: 127.0.0.1].
  --first-port=N     Port of the first target.
  --admin-port=N     Port for control and log.
  --count=N          Number of targets [default: 8].
  --prefix=TEXT      Start of the targets' names [default: t].
  --slots=N          Requests that one target runs at the same time [default: 2].
  --queue=N          Requests that may wait at one target; -1: as many as slots [default: -1].
  --reset-when-full  A full target resets connections instead of refusing requests.
  --service-us=N     Scale of the service time in microseconds [default: 10000].
  --seed=N           Seed of the service times [default: 1].
  --shed-status=N    Status of a refusal that was not run [default: 503].
  --cold             Targets start cold.
  --cold-capacity=N  Requests that a cold target can run at the same time [default: 1].
  --warm-after=N     Successes after which a cold target is warm [default: 6].
  --down-ms=N        How long a crashed target is down [default: 1000].
  --crash-text=TEXT  A request whose path contains this crashes its target [default: crash].
  --key-header=NAME  Header with the idempotency key [default: idempotency-key].
)";

} // namespace

int main(int argc, char** argv)
try
{
    using namespace catkintally;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto number = [&](const char* name) { return std::stoul(arguments[name].asString()); };
    std::signal(SIGPIPE, SIG_IGN);
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    stand_ins::target_log log;

    const int queue = std::stoi(arguments["--queue"].asString());
    stand_ins::target_options options{
        .slots = static_cast<std::uint32_t>(number("--slots")),
        .queue = queue < 0 ? std::nullopt : std::optional(static_cast<std::uint32_t>(queue)),
        .reset_when_full = arguments["--reset-when-full"].asBool(),
        .service_time = std::chrono::microseconds(number("--service-us")),
        .shed_status = static_cast<int>(number("--shed-status")),
        .start_cold = arguments["--cold"].asBool(),
        .cold_capacity = static_cast<std::uint32_t>(number("--cold-capacity")),
        .warm_after = static_cast<std::uint32_t>(number("--warm-after")),
        .crash_text = arguments["--crash-text"].asString(),
        .down_time = std::chrono::milliseconds(number("--down-ms"))};
    const std::string address = arguments["--address"].asString();
    const std::size_t first = number("--first-port");
    const std::size_t count = number("--count");
    std::vector<std::unique_ptr<stand_ins::target_server>> servers;
    for (std::size_t index = 0; index < count; ++index)
    {
        options.name = arguments["--prefix"].asString() + std::to_string(index + 1);
        options.seed = number("--seed") * 1000 + index;
        servers.push_back(std::make_unique<stand_ins::target_server>(
            loop, timers, log, options, address, static_cast<std::uint16_t>(first + index),
            arguments["--key-header"].asString()));
    }
    const stand_ins::target_control control(
        loop, address, static_cast<std::uint16_t>(number("--admin-port")), log, servers);
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    std::cout << "listening " << first << '-' << first + count - 1 << std::endl;
    loop.run();
    return 0;
}
catch (const std::exception& error)
{
    std::cerr << "target_stand_in: " << error.what() << '\n';
    return 1;
}
