#include "support/plain_caller.hpp"

#include "support/instance_fixture.hpp"

#include <catkintally/entry/http/http_head.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkintally::entry
{

int caller_answer::status() const
{
    return status_of(head);
}

std::string caller_answer::field(const std::string& name) const
{
    return field_of(head, name);
}

bool caller_answer::closes() const
{
    return field("Connection") == "close";
}

plain_caller::plain_caller(std::uint16_t port, int receive_buffer)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receive_buffer > 0)
    {
        // Set before the connection exists, so that the window is never wider.
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    refused = connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0;
    send_failed = refused;
}

plain_caller::~plain_caller()
{
    close();
}

void plain_caller::send(const std::string& text)
{
    unsent_ += text;
    write_unsent();
}

void plain_caller::write_unsent()
{
    while (!unsent_.empty() && !send_failed && socket_ >= 0)
    {
        const ssize_t sent =
            ::send(socket_, unsent_.data(), unsent_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0)
        {
            send_failed = errno == EPIPE || errno == ECONNRESET;
            return;
        }
        unsent_.erase(0, static_cast<std::size_t>(sent));
    }
}

void plain_caller::await_delivery() const
{
    // Only a hang reaches this limit.
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    const auto is_delivered = [this]
    {
        int unacknowledged = 0;
        pollfd state{.fd = socket_, .events = 0, .revents = 0};
        return ioctl(socket_, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0 ||
               poll(&state, 1, 0) > 0;
    };
    while (!is_delivered() && std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    REQUIRE(is_delivered());
}

void plain_caller::half_close() const
{
    shutdown(socket_, SHUT_WR);
}

void plain_caller::close()
{
    if (socket_ >= 0)
    {
        ::close(std::exchange(socket_, -1));
    }
}

void plain_caller::reset()
{
    const linger none{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}

void plain_caller::read(std::size_t most)
{
    write_unsent();
    std::array<char, 16'384> chunk{};
    while (socket_ >= 0 && most > 0 && end == connection_end::none)
    {
        const ssize_t size =
            recv(socket_, chunk.data(), std::min(most, chunk.size()), MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR))
        {
            break;
        }
        if (size <= 0)
        {
            // Sending reports a reset first; reading finds an end then.
            end = size == 0 && !send_failed ? connection_end::fin : connection_end::reset;
            break;
        }
        received_.append(chunk.data(), static_cast<std::size_t>(size));
        bytes_read += static_cast<std::size_t>(size);
        most -= static_cast<std::size_t>(size);
    }
    parse();
}

void plain_caller::parse()
{
    while (true)
    {
        const auto head_end = find_head_end(received_);
        if (head_end == std::string::npos)
        {
            return;
        }
        caller_answer answer{.head = received_.substr(0, head_end), .body = {}};
        if (answer.status() / 100 == 1)
        {
            ++interim;
            received_.erase(0, head_end);
            continue;
        }
        const auto length = parse_number(answer.field("Content-Length")).value_or(0);
        if (received_.size() < head_end + length)
        {
            return;
        }
        answer.body = received_.substr(head_end, length);
        received_.erase(0, head_end + length);
        told_to_close = told_to_close || answer.closes();
        answers.push_back(std::move(answer));
    }
}

} // namespace catkintally::entry
