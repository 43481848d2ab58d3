#include <catkintally/entry/targets/acknowledgement_check.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::entry;
using namespace std::chrono_literals;

// Guards against a request that waits until its deadline for a machine that is gone, and against
// one that is broken off although the target's machine still answers.
TEST_CASE("only a machine that acknowledges nothing for the whole limit counts as gone")
{
    struct row
    {
        const char* name;
        unsigned unacknowledged_segments;
        unsigned unanswered_probes;
        unsigned last_acknowledgement_ms;
        std::chrono::milliseconds since_sent;
        bool gone;
    };
    const auto each = GENERATE(
        row{"request unacknowledged", 1, 0, 3000, 3s, true},
        row{"request unacknowledged, connection idle before", 1, 0, 60'000, 2999ms, false},
        row{"request unacknowledged for a moment", 1, 0, 2999, 60s, false},
        row{"request acknowledged, target at work", 0, 0, 60'000, 60s, false},
        row{"window closed, probes answered", 0, 0, 60'000, 60s, false},
        row{"window closed, latest probe just sent", 0, 1, 60'000, 60s, false},
        row{"window closed, probes unanswered", 0, 3, 3000, 60s, true},
        row{"window closed, probes unanswered for a moment", 0, 3, 2999, 60s, false});
    INFO(each.name);
    tcp_info state{};
    state.tcpi_unacked = each.unacknowledged_segments;
    state.tcpi_probes = static_cast<decltype(state.tcpi_probes)>(each.unanswered_probes);
    state.tcpi_last_ack_recv = each.last_acknowledgement_ms;
    CHECK(lacks_acknowledgements(state, each.since_sent, 3s) == each.gone);
}
