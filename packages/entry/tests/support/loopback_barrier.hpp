#pragma once

namespace catkintally::entry
{

/// Waits until the kernel has delivered what this thread has sent over loopback. On a busy machine
/// the kernel may deliver it later than the call that sends it returns.
class loopback_barrier
{
public:
    loopback_barrier();
    ~loopback_barrier();
    loopback_barrier(const loopback_barrier&) = delete;
    loopback_barrier& operator=(const loopback_barrier&) = delete;

    /// Sends a datagram to itself and receives it. A processor delivers its packets in order.
    void wait() const;

private:
    int socket_;
};

} // namespace catkintally::entry
