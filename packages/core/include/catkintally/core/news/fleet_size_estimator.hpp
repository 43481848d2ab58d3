#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace catkintally::core
{

/// Estimated number of live instances.
struct fleet_size
{
    /// In this instance's failure domain, including itself.
    std::size_t near = 1;
    /// In other failure domains.
    std::size_t far = 0;
};

/// Random samples per instance and estimation round. The relative standard error of the estimate is
/// 1 / sqrt(samples_per_instance).
inline constexpr std::size_t samples_per_instance = 256;

/// Element-wise minimum of the samples received so far, log-encoded (see encode() in the source
/// file); merged by element-wise minimum.
using sample_minima = std::array<std::uint16_t, samples_per_instance>;

/// Estimator state that instances exchange.
struct size_estimate_report
{
    std::uint64_t epoch = 0;
    sample_minima all{};
    /// Minima over the sender's failure domain only.
    sample_minima near{};
    /// Results of the last two rounds, the newest first; 0 if there is none.
    std::array<std::uint32_t, 2> all_found{};
    std::array<std::uint32_t, 2> near_found{};
};

/// Fixed inputs of a fleet_size_estimator.
struct fleet_size_estimator_options
{
    /// Source of time; must outlive the estimator.
    timer_service* timers = nullptr;
    std::uint64_t seed = 0;
    /// True if this may be the only instance of the fleet. If false, an instance that receives no
    /// reports is partitioned from the others and keeps its last results.
    bool may_be_only_instance = true;
};

/// Effect of a merged report.
enum class size_estimate_change : std::uint8_t
{
    nothing,
    /// At least one minimum decreased.
    minima,
    /// The report started a newer round.
    epoch
};

/// Estimates the number of live instances with messages of constant size, by extrema propagation
/// (Baquero, Almeida and Menezes, "Fast estimation of aggregates in unstructured networks", 2009).
/// Each instance draws exponential samples, the element-wise minima over all instances are gossiped
/// over the links, and the fleet size follows from their sum. Rounds repeat with fresh samples, so
/// that instances that have left are no longer counted. All instances converge to the same
/// estimate, within a fifth of the true size.
class fleet_size_estimator
{
public:
    explicit fleet_size_estimator(fleet_size_estimator_options options);

    /// Starts the next round if the current one has reached its duration; returns true if it did.
    bool advance();

    /// Merges another instance's report. `same_domain`: the sender is in this instance's failure
    /// domain.
    size_estimate_change merge(const size_estimate_report& report, bool same_domain);

    /// State to send to other instances.
    [[nodiscard]] size_estimate_report report() const;

    /// The larger result of the last two rounds. Before a round has completed, the running estimate
    /// once it has converged; nullopt until then.
    [[nodiscard]] std::optional<fleet_size> size() const;

private:
    void start_round(std::uint64_t epoch);
    void finish_round();
    [[nodiscard]] sample_minima draw_samples();

    fleet_size_estimator_options options_;
    split_mix random_;
    size_estimate_report current_;
    time_point started_at_{};
    /// Time of the last change of the minima.
    time_point last_change_{};
    /// Another instance's report was merged in this round.
    bool heard_peer_ = false;
};

} // namespace catkintally::core
