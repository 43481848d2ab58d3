#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <limits>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// How a connection has ended for the caller.
enum class connection_end : std::uint8_t
{
    none,
    fin,
    reset
};

/// A complete final response.
struct caller_answer
{
    std::string head;
    std::string body;

    [[nodiscard]] int status() const;
    [[nodiscard]] std::string field(const std::string& name) const;
    [[nodiscard]] bool closes() const;
};

/// A caller on a plain non-blocking socket. Unlike raw_caller it reads only when told so, can close
/// its sending side alone and tells a reset from an ordered close.
class plain_caller
{
public:
    /// With `receive_buffer` > 0 the kernel holds about this many bytes for the caller; the rest of
    /// a long response stays on the side of the instance.
    explicit plain_caller(std::uint16_t port, int receive_buffer = 0);
    ~plain_caller();
    plain_caller(const plain_caller&) = delete;
    plain_caller& operator=(const plain_caller&) = delete;

    /// Sends text. What the kernel does not take now is sent by later calls of send() and read().
    void send(const std::string& text);
    /// Closes the sending side.
    void half_close() const;
    void close();
    /// Closes with a reset.
    void reset();

    /// Waits until the kernel on the other side has everything that was sent, or the connection has
    /// ended there.
    void await_delivery() const;

    /// Reads up to `most` bytes that have arrived.
    void read(std::size_t most = std::numeric_limits<std::size_t>::max());

    /// True if a part of a response has been read.
    [[nodiscard]] bool is_in_response() const { return !received_.empty(); }

    /// Complete final responses so far.
    std::vector<caller_answer> answers;
    /// Interim (1xx) responses so far.
    std::size_t interim = 0;
    /// A response with "Connection: close" has arrived.
    bool told_to_close = false;
    /// The instance did not accept the connection.
    bool refused = false;
    /// End that was found by reading.
    connection_end end = connection_end::none;
    /// Sending has failed because the connection had ended.
    bool send_failed = false;
    /// Bytes read so far.
    std::size_t bytes_read = 0;

private:
    void write_unsent();
    void parse();

    int socket_;
    std::string unsent_;
    std::string received_;
};

} // namespace catkintally::entry
