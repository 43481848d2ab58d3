#include <catkintally/entry/process/instance_process.hpp>
#include <catkintally/entry/process/probing_process.hpp>
#include <catkintally/entry/process/settings_reload.hpp>
#include <catkintally/platform/objects/platform_limits.hpp>
#include <catkintally/runtime/log/event_log.hpp>
#include <catkintally/runtime/settings/settings_loader.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

namespace
{

using namespace catkintally;

constexpr const char* usage = R"(catkintally, a load balancer.

Usage:
  catkintally --config FILE [--check | --print-settings]
  catkintally --version
  catkintally --help

Options:
  --config FILE     Settings file (INI).
  --check           Check the settings file and exit.
  --print-settings  Print all settings with their help and exit.
  --version         Print the version.
  --help            Print this text.

The exit status is 0 after a planned stop, 1 if an address cannot be bound and 2 if the arguments or
the settings are refused.
)";

constexpr const char* version = "catkintally 0.1.0";

/// Every caller and every target connection costs a descriptor, and the usual soft limit of 1,024
/// is below the connections of one service.
void raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
    {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/// Runs a process until SIGTERM or SIGINT. SIGHUP makes it read its settings again.
template <class Process>
int run_until_stopped(
    runtime::event_loop& loop, Process& self, entry::settings_reload_options settings)
{
    if (!self.start())
    {
        return 1;
    }
    entry::settings_reload reload(std::move(settings));
    loop.on_signal(SIGHUP, [&] { reload.reload(); });
    for (const int number : {SIGTERM, SIGINT})
    {
        loop.on_signal(number, [&] { self.stop([&] { loop.stop(); }); });
    }
    loop.run();
    return 0;
}

/// Decodes the limits that the hosting platform sets.
boost::leaf::result<platform::platform_limits>
read_limits(const std::string& path, const runtime::settings& values)
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_some(
        [&] { return platform::decode_limits(values.platform.limits); },
        [&](const platform::decode_error& error) -> leaf::result<platform::platform_limits>
        {
            return leaf::new_error(runtime::settings_error{
                .fault = runtime::settings_fault::bad_value,
                .file = path,
                .section = "platform",
                .key = "limits",
                .detail = error.where + ": " + error.expected});
        });
}

/// Runs the kind of process that the settings ask for.
int serve(
    const std::string& path,
    const runtime::settings& values,
    const platform::platform_limits& limits)
{
    raise_descriptor_limit();
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    if (values.admission.mode == runtime::admission_mode::probing)
    {
        entry::probing_process self(loop, timers, values, limits);
        return run_until_stopped(
            loop, self,
            {.timers = &timers,
             .path = path,
             .current = values,
             .apply = [&](const runtime::settings& changed) { return self.reload(changed); }});
    }
    entry::instance_process self(loop, timers, values);
    return run_until_stopped(
        loop, self,
        {.timers = &timers, .path = path, .current = values, .apply = [](const runtime::settings&) {
             return std::vector<std::string>();
         }});
}

int run(const std::map<std::string, docopt::value>& arguments)
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            const std::string& path = arguments.at("--config").asString();
            BOOST_LEAF_AUTO(values, runtime::load_settings(path));
            BOOST_LEAF_AUTO(limits, read_limits(path, values));
            if (arguments.at("--check").asBool())
            {
                std::cout << "settings are valid\n";
                return 0;
            }
            if (arguments.at("--print-settings").asBool())
            {
                runtime::print_settings(std::cout, values);
                return 0;
            }
            return serve(path, values, limits);
        },
        [](const runtime::settings_error& error)
        {
            std::cerr << error.message() << '\n';
            return runtime::exit_bad_settings;
        },
        [](const std::exception& error)
        {
            log_event(runtime::event_id::process_failed, {{"error", error.what()}});
            return 1;
        },
        [] { return 1; });
}

} // namespace

int main(int argc, char** argv)
{
    // Until the loop handles signals, a stop ends the process, which has not taken any work yet,
    // and a reload is needless, because the settings are still to be read.
    std::signal(SIGTERM, [](int) { _exit(0); });
    std::signal(SIGHUP, SIG_IGN);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    // A caller or target that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return run(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true));
    }
    catch (const docopt::DocoptExitHelp&)
    {
        std::cout << usage;
        return 0;
    }
    catch (const docopt::DocoptExitVersion&)
    {
        std::cout << version << '\n';
        return 0;
    }
    catch (const docopt::DocoptArgumentError& error)
    {
        std::cerr << "catkintally: " << error.what() << "\n\n" << usage;
        return runtime::exit_bad_settings;
    }
}
