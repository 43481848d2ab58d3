#pragma once

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace catkintally::core
{

/// Live instances as far as they are known.
struct fleet_size
{
    /// In the own failure domain, this one included.
    std::size_t near = 1;
    /// In other failure domains.
    std::size_t far = 0;
};

/// Values of one census. The estimate's standard error is one in the square root of their number.
inline constexpr std::size_t samples_per_instance = 256;

/// Smallest values that are known, on a logarithmic scale; merged by taking the smaller ones.
using sample_minima = std::array<std::uint16_t, samples_per_instance>;

/// What one instance tells another.
struct size_estimate_report
{
    std::uint64_t epoch = 0;
    sample_minima all{};
    /// Of the sender's failure domain.
    sample_minima near{};
    /// Results of the last two censuses; zero if there were none.
    std::array<std::uint32_t, 2> all_found{};
    std::array<std::uint32_t, 2> near_found{};
};

/// Fixed inputs of a fleet_size_estimator.
struct fleet_size_estimator_options
{
    /// Source of time; must outlive the census.
    timer_service* timers = nullptr;
    std::uint64_t seed = 0;
    /// There may be no other instance. Otherwise one that hears nobody is cut off, and what it knew
    /// before stays true.
    bool may_be_only_instance = true;
};

/// What a report has changed.
enum class size_estimate_change : std::uint8_t
{
    nothing,
    /// Smaller values are known.
    minima,
    /// A newer census has begun.
    epoch
};

/// Estimates the number of live instances, at a cost that does not grow with it: extrema
/// propagation (Baquero, Almeida and Menezes, "Fast estimation of aggregates in unstructured
/// networks", 2009). Each instance draws exponential values, the smallest of all instances spread
/// over the links, and the number follows from their sum. The census is taken again and again, so
/// that instances that are gone stop to count. Everyone finds the same number, within a fifth of
/// the true one.
class fleet_size_estimator
{
public:
    explicit fleet_size_estimator(fleet_size_estimator_options options);

    /// Begins the next census if this one has lasted long enough; true if it has.
    bool advance();

    /// Takes another instance's report. `same_domain`: its failure domain is the own one.
    size_estimate_change merge(const size_estimate_report& report, bool same_domain);

    /// What to tell others.
    [[nodiscard]] size_estimate_report report() const;

    /// The larger result of the last two censuses. Before there is one, that of the first census
    /// once it has settled; nothing until then.
    [[nodiscard]] std::optional<fleet_size> size() const;

private:
    void begin(std::uint64_t epoch);
    void finish();
    [[nodiscard]] sample_minima draw();

    fleet_size_estimator_options options_;
    split_mix random_;
    size_estimate_report current_;
    time_point begun_{};
    /// When the smallest values changed last.
    time_point changed_{};
    /// Another instance took part in this census.
    bool heard_ = false;
};

} // namespace catkintally::core
