#pragma once

#include <cstddef>

namespace catkintally::core
{

/// What happened to the callers of one domain, and what their instances sent elsewhere.
struct overflow_totals
{
    /// Requests that were answered or refused twice.
    std::size_t ended = 0;
    std::size_t refused = 0;
    /// Responses within the objective.
    std::size_t on_time = 0;
    double response_ms_sum = 0;
    std::size_t probes = 0;
    std::size_t probes_elsewhere = 0;
    std::size_t granted = 0;
    std::size_t granted_elsewhere = 0;
    double kilobytes_elsewhere = 0;

    [[nodiscard]] double mean_ms() const;
    [[nodiscard]] double on_time_part() const;
    [[nodiscard]] double refused_part() const;
    [[nodiscard]] double elsewhere_part() const;
    overflow_totals& operator+=(const overflow_totals& other);
};

} // namespace catkintally::core
