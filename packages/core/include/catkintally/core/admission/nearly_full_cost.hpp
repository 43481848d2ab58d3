#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <cstdint>

namespace catkintally::core
{

/// Learns how much longer the targets of a service work on requests that they start while nearly
/// all of their slots are in use.
class nearly_full_cost
{
public:
    /// True if a target with so many requests and slots counts as nearly full.
    [[nodiscard]] static bool is_nearly_full(std::uint32_t requests, std::uint32_t slots);

    /// Number of slots that must stay free so that a target is not nearly full.
    [[nodiscard]] static std::uint32_t slow_slots(std::uint32_t slots);

    /// Records the time of one request, in units of the usual time of such requests.
    void add(double relative_work, bool nearly_full);

    /// Time at a nearly full target, in units of the time at others; an assumption while there are
    /// too few requests to tell.
    [[nodiscard]] double factor() const;

    /// True if targets serve more requests in time when their last slots stay free.
    [[nodiscard]] bool slows_down() const;

private:
    /// Moving average.
    struct average
    {
        void add(double value);
        double value = 0;
        std::uint32_t count = 0;
    };
    average nearly_full_;
    average others_;
};

} // namespace catkintally::core
