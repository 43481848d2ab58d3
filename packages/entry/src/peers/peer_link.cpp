#include <catkintally/entry/peers/peer_link.hpp>

#include <catkintally/entry/peers/hello_auth.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace catkintally::entry
{

namespace leaf = boost::leaf;

namespace
{

/// Maximum frame size accepted from a peer that has not authenticated itself yet.
constexpr std::size_t max_hello_bytes = 4096;

/// Read and write time-out during the hello exchange.
constexpr timeval hello_exchange_timeout{.tv_sec = 2, .tv_usec = 0};

/// TCP user time-out: a link ends when sent bytes are not acknowledged for this time.
constexpr unsigned unacknowledged_timeout_ms = 5'000;

} // namespace

const char* link_end_reason_name(link_end_reason end)
{
    switch (end)
    {
    case link_end_reason::disconnected:
        return "disconnected";
    case link_end_reason::malformed:
        return "malformed";
    case link_end_reason::rejected:
        return "rejected";
    case link_end_reason::hello_timeout:
        return "hello_timeout";
    case link_end_reason::overflow:
        return "overflow";
    case link_end_reason::own_address:
        return "own_address";
    }
    return "unknown";
}

struct peer_link::callbacks
{
    static void on_read(bufferevent*, void* context) { static_cast<peer_link*>(context)->read(); }

    static void on_event(bufferevent*, short what, void* context)
    {
        auto* self = static_cast<peer_link*>(context);
        if ((what & BEV_EVENT_CONNECTED) != 0)
        {
            self->connected();
        }
        else if ((what & BEV_EVENT_TIMEOUT) != 0)
        {
            self->end(
                self->connected_ ? link_end_reason::hello_timeout : link_end_reason::disconnected,
                "");
        }
        else
        {
            self->end(link_end_reason::disconnected, "");
        }
    }
};

peer_link::peer_link(peer_link_options options)
    : options_(std::move(options))
    , decoder_(max_hello_bytes)
{
}

peer_link::~peer_link()
{
    if (buffer_ != nullptr)
    {
        bufferevent_free(buffer_);
    }
}

bool peer_link::connect(const std::string& address)
{
    sockaddr_storage storage{};
    int size = sizeof storage;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&storage), &size) !=
        0)
    {
        return false;
    }
    dialed_ = true;
    buffer_ = bufferevent_socket_new(options_.base, -1, BEV_OPT_CLOSE_ON_FREE);
    prepare();
    return bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr*>(&storage), size) == 0;
}

void peer_link::accept(int socket)
{
    buffer_ = bufferevent_socket_new(options_.base, socket, BEV_OPT_CLOSE_ON_FREE);
    prepare();
    connected();
}

void peer_link::prepare()
{
    bufferevent_setcb(buffer_, &callbacks::on_read, nullptr, &callbacks::on_event, this);
    const auto microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(options_.connect_timeout);
    const timeval limit{
        .tv_sec = static_cast<time_t>(microseconds.count() / 1'000'000),
        .tv_usec = static_cast<suseconds_t>(microseconds.count() % 1'000'000)};
    bufferevent_set_timeouts(buffer_, &limit, &limit);
    bufferevent_enable(buffer_, EV_READ | EV_WRITE);
}

void peer_link::connected()
{
    connected_ = true;
    bufferevent_set_timeouts(buffer_, &hello_exchange_timeout, &hello_exchange_timeout);
    // Requests wait for decisions in small messages, which must not be delayed to fill larger
    // segments.
    const int on = 1;
    const int socket = bufferevent_getfd(buffer_);
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    // Detects a peer whose machine has failed, which does not close its connections.
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(
        socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms,
        sizeof unacknowledged_timeout_ms);
    if (dialed_)
    {
        send_hello(0);
    }
}

void peer_link::send_hello(std::uint64_t peer_nonce)
{
    auto hello = make_hello(options_.self, options_.key, options_.nonce, peer_nonce);
    write(wire::encode_frame(wire::make_message(std::move(hello))).value());
}

void peer_link::write(const std::string& frame)
{
    options_.counters->bytes_sent += frame.size();
    ++options_.counters->messages_sent;
    bufferevent_write(buffer_, frame.data(), frame.size());
}

void peer_link::send(const std::string& frame)
{
    if (ended_ || !up_)
    {
        return;
    }
    if (evbuffer_get_length(bufferevent_get_output(buffer_)) + frame.size() >
        options_.max_output_bytes)
    {
        end(link_end_reason::overflow, "");
        return;
    }
    write(frame);
}

void peer_link::read()
{
    evbuffer* input = bufferevent_get_input(buffer_);
    std::array<std::uint8_t, 16'384> chunk{};
    while (!ended_)
    {
        const int size = evbuffer_remove(input, chunk.data(), chunk.size());
        if (size <= 0)
        {
            return;
        }
        options_.counters->bytes_received += static_cast<std::uint64_t>(size);
        decoder_.append({chunk.data(), static_cast<std::size_t>(size)});
        bool more = true;
        while (more && !ended_)
        {
            leaf::try_handle_all(
                [&]() -> leaf::result<void>
                {
                    BOOST_LEAF_AUTO(message, decoder_.next());
                    more = message.has_value();
                    if (!more)
                    {
                        return {};
                    }
                    ++options_.counters->messages_received;
                    if (up_)
                    {
                        options_.message(*message);
                    }
                    else if (const auto* hello = message->Ashello())
                    {
                        more = handle_hello(*hello);
                    }
                    else
                    {
                        end(link_end_reason::rejected, "message before hello");
                    }
                    return {};
                },
                [&](wire::frame_error error)
                { end(link_end_reason::malformed, wire::frame_error_name(error)); },
                [&] { end(link_end_reason::malformed, "unknown"); });
        }
    }
}

bool peer_link::handle_hello(const wire::hello_data& hello)
{
    const bool first = !peer_.has_value();
    // The acceptor's only hello and the dialer's second one are bound to this side's nonce.
    const std::uint64_t expected_nonce = dialed_ || !first ? options_.nonce : 0;
    if (hello.version != peer_protocol_version)
    {
        end(link_end_reason::rejected,
            "unsupported protocol version " + std::to_string(hello.version));
        return false;
    }
    if (!verify_hello(hello, options_.key, expected_nonce))
    {
        end(link_end_reason::rejected, "authentication failed");
        return false;
    }
    const core::member sender = sender_of(hello);
    if (!first && sender.id != peer_->id)
    {
        end(link_end_reason::rejected, "second hello names another sender");
        return false;
    }
    if (sender.id == options_.self.id)
    {
        end(link_end_reason::own_address, "");
        return false;
    }
    if (!options_.expected_instance.empty() && sender.id.instance != options_.expected_instance)
    {
        end(link_end_reason::rejected, "unexpected instance " + sender.id.instance);
        return false;
    }
    peer_ = sender;
    if (!dialed_ && first)
    {
        send_hello(hello.nonce);
        return true;
    }
    if (dialed_)
    {
        send_hello(hello.nonce);
    }
    up_ = true;
    decoder_.set_limit(wire::max_envelope_bytes);
    bufferevent_set_timeouts(buffer_, nullptr, nullptr);
    options_.up();
    return true;
}

void peer_link::end(link_end_reason reason, const std::string& detail)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    up_ = false;
    bufferevent_disable(buffer_, EV_READ | EV_WRITE);
    options_.ended(reason, detail);
}

} // namespace catkintally::entry
