#include <catkintally/entry/targets/acknowledgement_check.hpp>

#include <algorithm>
#include <chrono>

namespace catkintally::entry
{

namespace
{

/// Unanswered probes of a closed receive window after which a machine counts as unreachable. One
/// stays on the count while the interval between probes grows.
constexpr unsigned max_unanswered_probes = 3;

} // namespace

bool lacks_acknowledgements(const tcp_info& state, core::duration since_sent, core::duration limit)
{
    const bool outstanding = state.tcpi_unacked > 0 || state.tcpi_probes >= max_unanswered_probes;
    const core::duration silence = std::chrono::milliseconds(state.tcpi_last_ack_recv);
    return outstanding && std::min(silence, since_sent) >= limit;
}

} // namespace catkintally::entry
