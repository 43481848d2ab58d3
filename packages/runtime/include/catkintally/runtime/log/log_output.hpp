#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace catkintally::runtime
{

/// Fixed inputs of a log_output.
struct log_output_options
{
    /// Lines a second that may be left out; an instance writes two for each request. Warnings and
    /// errors do not count.
    std::uint32_t lines_per_s = 400;
    /// Bytes that may wait for a reader that does not read.
    std::size_t max_waiting_bytes = 262'144;
    /// Steady time in seconds.
    std::function<double()> now;
    /// Writes some of the bytes without blocking; returns how many.
    std::function<std::size_t(std::string_view)> write;
};

/// Where log lines go. It never blocks, and its volume is bounded: what is too much is counted and
/// reported in a line of its own.
class log_output
{
public:
    explicit log_output(log_output_options options);

    /// Writes one line, given without its end, or leaves it out. Important ones are left out only
    /// if the reader does not read.
    void write(std::string_view line, bool important);

    /// Lines that were left out since the start.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    [[nodiscard]] bool has_allowance();
    void report_dropped();
    void append(std::string_view line);
    void flush();

    log_output_options options_;
    std::string waiting_;
    double allowance_ = 0;
    double updated_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
    double reported_at_ = 0;
};

/// Writes to a file descriptor as far as that is possible without blocking.
[[nodiscard]] std::size_t write_without_blocking(int descriptor, std::string_view bytes);

} // namespace catkintally::runtime
