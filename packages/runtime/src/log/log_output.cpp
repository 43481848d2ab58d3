#include <catkintally/runtime/log/event_log.hpp>
#include <catkintally/runtime/log/log_output.hpp>

#include <algorithm>
#include <cassert>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace catkintally::runtime
{

namespace
{

/// Pause between two reports of lines that were left out, in seconds.
constexpr double report_interval = 1;

} // namespace

std::size_t write_without_blocking(int descriptor, std::string_view bytes)
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        // A pipe that can be written takes PIPE_BUF bytes without blocking.
        pollfd ready{.fd = descriptor, .events = POLLOUT, .revents = 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
        {
            break;
        }
        const auto part = bytes.substr(written, PIPE_BUF);
        const auto done = ::write(descriptor, part.data(), part.size());
        if (done <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(done);
    }
    return written;
}

log_output::log_output(log_output_options options)
    : options_(std::move(options))
    , allowance_(options_.lines_per_s)
{
    assert(options_.now && options_.write);
    updated_ = options_.now();
    reported_at_ = updated_;
}

bool log_output::has_allowance()
{
    const double now = options_.now();
    const double most = options_.lines_per_s;
    allowance_ = std::min(most, allowance_ + (now - std::exchange(updated_, now)) * most);
    if (allowance_ < 1)
    {
        return false;
    }
    allowance_ -= 1;
    return true;
}

void log_output::write(std::string_view line, bool important)
{
    if (!important && !has_allowance())
    {
        ++dropped_;
        return;
    }
    // Room is made first, so that a reader that is back gets the report and this line.
    flush();
    report_dropped();
    append(line);
    flush();
}

void log_output::report_dropped()
{
    const double now = options_.now();
    if (dropped_ != reported_ && now - reported_at_ >= report_interval)
    {
        reported_at_ = now;
        const auto number = static_cast<unsigned>(event_id::log_lines_dropped);
        append(
            "W " + std::to_string(number) + ' ' +
            std::string(event_name(event_id::log_lines_dropped)) +
            " dropped=" + std::to_string(dropped_ - std::exchange(reported_, dropped_)));
    }
}

void log_output::append(std::string_view line)
{
    if (waiting_.size() + line.size() + 1 > options_.max_waiting_bytes)
    {
        ++dropped_;
        return;
    }
    waiting_.append(line).append("\n");
}

void log_output::flush()
{
    waiting_.erase(0, options_.write(waiting_));
}

} // namespace catkintally::runtime
