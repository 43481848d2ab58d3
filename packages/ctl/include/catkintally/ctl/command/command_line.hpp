#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/ctl/command/exit_code.hpp>
#include <catkintally/runtime/time/event_loop.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace catkintally::ctl
{

/// Runs one command of catkintallyctl. `arguments` does not hold the program's name.
exit_code run_command_line(
    const std::vector<std::string>& arguments,
    runtime::event_loop& loop,
    core::timer_service& timers,
    std::ostream& out,
    std::ostream& err);

} // namespace catkintally::ctl
