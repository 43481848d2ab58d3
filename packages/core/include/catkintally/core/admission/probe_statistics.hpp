#pragma once

#include <catkintally/core/time/timer_service.hpp>

namespace catkintally::core
{

/// Outcome of one probe of a target.
struct probe_outcome
{
    /// The target has a slot that a request may use now.
    bool usable = false;
    /// Expected time of one more request there, in units of the usual time at an idle target.
    double relative_time = 1;
    /// Time from the probe to its report.
    duration round_trip{};
};

/// Prior assumption about the probes of a failure domain.
struct probe_prior
{
    double usable = 0.5;
    /// Number of probes that the prior is worth.
    double weight = 1;
};

/// Exponentially decaying statistics of the probes of one failure domain.
class probe_statistics
{
public:
    explicit probe_statistics(duration memory)
        : memory_(memory)
    {
    }

    void add(const probe_outcome& outcome, time_point now);

    /// Number of probes, decayed to `now`.
    [[nodiscard]] double count(time_point now) const;

    /// Probability that a probe finds a usable slot.
    [[nodiscard]] double usable(const probe_prior& prior, time_point now) const;

    /// Probability that a probe finds a usable slot at about the usual speed.
    [[nodiscard]] double fast(const probe_prior& prior, time_point now) const;

    /// Mean relative time of usable slots that are not fast.
    [[nodiscard]] double slow_time() const;

    /// Mean round trip in milliseconds; `unknown` if there was no probe.
    [[nodiscard]] double round_trip_ms(double unknown) const;

private:
    [[nodiscard]] double decay(time_point now) const;

    duration memory_;
    time_point updated_{};
    double count_ = 0;
    double usable_ = 0;
    double fast_ = 0;
    double slow_time_sum_ = 0;
    double round_trip_sum_ms_ = 0;
};

} // namespace catkintally::core
