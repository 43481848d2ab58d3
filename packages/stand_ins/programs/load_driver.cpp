#include <catkintally/runtime/time/libevent_timer_service.hpp>
#include <catkintally/stand_ins/load/load_driver.hpp>

#include <boost/algorithm/string.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <fstream>
#include <iostream>

namespace
{

constexpr const char* usage = R"(Callers for tests and measurements, with open-loop arrivals.

Sends lookups (GET) and orders (POST with an idempotency key) to the instances and writes a JSON
summary. Orders are sent again to another instance until they have a final answer.

Usage:
  load_driver --instances=LIST [options]
  load_driver (-h | --help)

Options:
  --instances=LIST    Addresses IP:port, separated by commas.
  --seed=N            Seed of arrivals and instances [default: 1].
  --lookups=RATE      Lookups a second [default: 50].
  --orders=RATE       Orders a second [default: 20].
  --seconds=N         How long new requests start [default: 10].
  --marks=LIST        Seconds at which a new phase starts, separated by commas [default: ].
  --lookup-host=NAME  Host header of lookups [default: lookup.test].
  --order-host=NAME   Host header of orders [default: order.test].
  --key-header=NAME   Header with the idempotency key [default: idempotency-key].
  --key-prefix=TEXT   Start of every key [default: k].
  --attempt-ms=N      Time-out of one sending [default: 2000].
  --give-up-ms=N      How long an order is sent again [default: 10000].
  --output=FILE       File for the summary, - for standard output [default: -].
)";

} // namespace

int main(int argc, char** argv)
try
{
    using namespace catkintally;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto text = [&](const char* name) { return arguments[name].asString(); };
    const auto list = [&](const char* name)
    {
        std::vector<std::string> parts;
        const std::string value = text(name);
        boost::split(parts, value, boost::is_any_of(","));
        std::erase(parts, "");
        return parts;
    };
    const auto seconds = [](const std::string& value)
    { return core::duration(static_cast<std::int64_t>(std::stod(value) * 1e6)); };

    stand_ins::load_options options;
    for (const std::string& part : list("--instances"))
    {
        const auto address = core::parse_endpoint(part);
        if (!address)
        {
            throw std::runtime_error("not an address: " + part);
        }
        options.instances.push_back(*address);
    }
    if (options.instances.empty())
    {
        throw std::runtime_error("no instances");
    }
    for (const std::string& part : list("--marks"))
    {
        options.marks.push_back(seconds(part));
    }
    options.seed = std::stoull(text("--seed"));
    options.lookups_per_s = std::stod(text("--lookups"));
    options.orders_per_s = std::stod(text("--orders"));
    options.length = seconds(text("--seconds"));
    options.lookup_host = text("--lookup-host");
    options.order_host = text("--order-host");
    options.key_header = text("--key-header");
    options.key_prefix = text("--key-prefix");
    options.attempt_time = std::chrono::milliseconds(std::stoll(text("--attempt-ms")));
    options.give_up_after = std::chrono::milliseconds(std::stoll(text("--give-up-ms")));

    std::signal(SIGPIPE, SIG_IGN);
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    stand_ins::load_driver driver(loop, timers, options);
    driver.start([&loop] { loop.stop(); });
    loop.run();

    const std::string summary = boost::json::serialize(driver.summary().to_json()) + "\n";
    if (text("--output") == "-")
    {
        std::cout << summary;
    }
    else
    {
        std::ofstream(text("--output")) << summary;
    }
    return 0;
}
catch (const std::exception& error)
{
    std::cerr << "load_driver: " << error.what() << '\n';
    return 1;
}
