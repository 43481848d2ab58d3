#pragma once

#include <catkintally/core/time/timer_service.hpp>

namespace catkintally::core
{

/// When an instance reports its demand anew, and when a report counts for itself. The defaults are
/// those of target limits.
struct report_policy
{
    /// Time constant of the measured rate.
    duration averaging_time = std::chrono::seconds(10);
    /// A changed demand is reported at most once in this time.
    duration min_interval = std::chrono::seconds(1);
    /// Reports are renewed at this interval.
    duration renewal_interval = std::chrono::seconds(20);
    /// Time after which all instances know a report, unless news are very late.
    duration settle_time = std::chrono::seconds(4);
    /// A demand is reported anew if it differs from the reported one by more than this factor and
    /// the tolerance. Small demands fluctuate by more than the factor, hence the tolerance; `noise`
    /// is the part of it that grows with the square root of the demand.
    double factor = 2;
    double tolerance = 0.25;
    double noise = 0;
    /// Renews all reports when the first one is due, so that they travel in one message.
    bool renews_together = false;
    /// An own report of an earlier run of this instance, sent back by a neighbour, is used again.
    bool resumes = false;
};

} // namespace catkintally::core
