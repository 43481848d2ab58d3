#include <catkintally/ctl/command/command_line.hpp>
#include <catkintally/runtime/time/libevent_timer_service.hpp>

#include <glog/logging.h>

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace catkintally;
    google::InitGoogleLogging(argv[0]);
    // Results and messages are the command's own; log lines of the client would only repeat them.
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    std::signal(SIGPIPE, SIG_IGN);
    runtime::event_loop loop;
    runtime::libevent_timer_service timers(loop);
    return static_cast<int>(
        ctl::run_command_line({argv + 1, argv + argc}, loop, timers, std::cout, std::cerr));
}
