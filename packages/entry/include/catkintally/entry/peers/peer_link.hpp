#pragma once

#include <catkintally/core/fleet/member.hpp>
#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/entry/peers/peer_counters.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;
struct event_base;

namespace catkintally::entry
{

/// Reason why a link ended.
enum class link_end_reason : std::uint8_t
{
    /// The peer closed the connection, or it was never established.
    disconnected,
    /// A frame was malformed, so frame boundaries in the stream are lost.
    malformed,
    /// The protocol version or the authentication code in the hello was wrong, the hello came from
    /// an unexpected instance, or another message came before it.
    rejected,
    /// No valid hello arrived in time.
    hello_timeout,
    /// The output buffer is full because the peer does not read.
    overflow,
    /// The dialed address is this instance's own.
    own_address
};

/// Name of the reason, for log fields.
[[nodiscard]] const char* link_end_reason_name(link_end_reason end);

/// Configuration and callbacks of a peer_link.
struct peer_link_options
{
    event_base* base = nullptr;
    /// This instance, as its hello names it.
    core::member self;
    /// Shared key of all instances; an empty key turns authentication off.
    std::string key;
    std::uint64_t nonce = 0;
    /// Instance that must answer at the dialed address; empty if it is not known.
    std::string expected_instance;
    /// Called once the hello exchange is complete and messages may be sent.
    std::function<void()> up;
    /// Called for each message received after the hello exchange.
    std::function<void(const wire::payloadUnion&)> message;
    /// Called at most once, when the link has ended. The callee must not destroy the link.
    std::function<void(link_end_reason, const std::string& detail)> ended;
    peer_counters* counters = nullptr;
    /// Limit of the output buffer in bytes; exceeding it ends the link.
    std::size_t max_output_bytes = std::size_t{8} << 20;
    /// Time limit for establishing the TCP connection.
    core::duration connect_timeout = std::chrono::seconds(2);
};

/// TCP connection to another instance. The dialing side sends a hello, the accepting side answers
/// with a hello bound to the dialer's nonce, and the dialer confirms with a second hello bound to
/// the acceptor's nonce. After that both sides may send messages.
class peer_link
{
public:
    explicit peer_link(peer_link_options options);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Starts to connect to an "IP:port" address. False if the address cannot be parsed or the
    /// attempt fails at once.
    [[nodiscard]] bool connect(const std::string& address);

    /// Takes ownership of an accepted socket.
    void accept(int socket);

    /// Sends an encoded frame; dropped unless the link is up. Ends the link if the output buffer
    /// would exceed its limit.
    void send(const std::string& frame);

    /// Peer as named in its hello; available once has_peer() is true.
    [[nodiscard]] const core::member& peer() const { return *peer_; }

    /// True once the peer has sent a valid hello.
    [[nodiscard]] bool has_peer() const { return peer_.has_value(); }

    [[nodiscard]] bool is_up() const { return up_; }
    [[nodiscard]] bool dialed() const { return dialed_; }

private:
    struct callbacks;

    void prepare();
    void connected();
    void read();
    bool handle_hello(const wire::hello_data& hello);
    void send_hello(std::uint64_t peer_nonce);
    void write(const std::string& frame);
    void end(link_end_reason reason, const std::string& detail);

    peer_link_options options_;
    bufferevent* buffer_ = nullptr;
    wire::frame_decoder decoder_;
    std::optional<core::member> peer_;
    std::uint64_t peer_nonce_ = 0;
    bool dialed_ = false;
    bool connected_ = false;
    bool up_ = false;
    bool ended_ = false;
};

} // namespace catkintally::entry
