#include <catkintally/runtime/log/event_log.hpp>
#include <catkintally/runtime/log/log_output.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <chrono>
#include <cstdio>

#include <unistd.h>

namespace catkintally::runtime
{

namespace
{

struct event_entry
{
    event_id id;
    std::string_view name;
    google::LogSeverity severity;
};

constexpr auto event_entries = std::to_array<event_entry>({
#define CATKINTALLY_EVENT(number, name, severity) {event_id::name, #name, google::GLOG_##severity},
#include <catkintally/runtime/log/event_table.inc>
#undef CATKINTALLY_EVENT
});

const event_entry& find_entry(event_id id)
{
    const auto* found = std::find_if(
        event_entries.begin(), event_entries.end(),
        [id](const event_entry& entry) { return entry.id == id; });
    assert(found != event_entries.end());
    return *found;
}

double steady_seconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double>(now).count();
}

/// Takes lines from glog to standard output: "SEVERITY MONTHDAY TIME NUMBER name field=value ...".
class output_sink final : public google::LogSink
{
public:
    using google::LogSink::send;

    void send(
        google::LogSeverity severity,
        const char* /*full_filename*/,
        const char* /*base_filename*/,
        int /*line*/,
        const google::LogMessageTime& time,
        const char* message,
        std::size_t message_length) override
    {
        std::array<char, 48> prefix{};
        const int length = std::snprintf(
            prefix.data(), prefix.size(), "%c %02d%02d %02d:%02d:%02d.%06d ",
            google::GetLogSeverityName(severity)[0], time.month() + 1, time.day(), time.hour(),
            time.min(), time.sec(), static_cast<int>(time.usec()));
        std::string text(prefix.data(), static_cast<std::size_t>(length));
        text.append(message, message_length);
        output_.write(text, severity != google::GLOG_INFO);
    }

private:
    log_output output_{{.now = steady_seconds, .write = [](std::string_view bytes) {
                            return write_without_blocking(STDOUT_FILENO, bytes);
                        }}};
};

output_sink& sink()
{
    static output_sink only;
    return only;
}

/// A value with spaces or control characters is quoted, so that a line stays one line.
std::string quoted(const std::string& value)
{
    const bool plain =
        !value.empty() && std::all_of(
                              value.begin(), value.end(),
                              [](unsigned char c) { return c > ' ' && c != '"' && c != 0x7f; });
    if (plain)
    {
        return value;
    }
    std::string out = "\"";
    for (const unsigned char c : value)
    {
        if (c == '"' || c == '\\')
        {
            out += '\\';
            out += static_cast<char>(c);
        }
        else
        {
            out += c < ' ' || c == 0x7f ? '?' : static_cast<char>(c);
        }
    }
    return out + "\"";
}

} // namespace

std::string_view event_name(event_id id)
{
    return find_entry(id).name;
}

void log_event(event_id id, std::initializer_list<event_field> fields)
{
    const event_entry& entry = find_entry(id);
    std::string line = std::to_string(static_cast<unsigned>(id)) + ' ' + std::string(entry.name);
    for (const auto& [name, value] : fields)
    {
        line.append(" ").append(name).append("=").append(quoted(value));
    }
    google::LogMessage(__FILE__, __LINE__, entry.severity, &sink(), false).stream() << line;
}

} // namespace catkintally::runtime
