#pragma once

#include <catkintally/core/admission/decaying_sum.hpp>
#include <catkintally/core/admission/nearly_full_cost.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkintally::core
{

/// State of one priority of one service, for the dump.
struct shortage_class_dump
{
    std::uint32_t priority = 0;
    /// Recent requests, weighted by age, and the granted fraction of them.
    double decided = 0;
    double served_fraction = 0;
    double work_ms = 0;
    /// Free slots that requests of this priority leave at a target with the fewest slots.
    std::uint32_t reserve = 0;
};

/// State of one service, for the dump.
struct shortage_dump
{
    std::string service;
    bool short_of_slots = false;
    /// Fraction of the recent passes over the targets that found no slot.
    double level = 0;
    /// Time at a nearly full target, in units of the time at others.
    double nearly_full_factor = 1;
    std::vector<shortage_class_dump> classes;
};

/// How short one service is of free slots, as seen by this instance, and how many free slots the
/// requests of each priority leave to others because of that.
class service_shortage
{
public:
    service_shortage();

    /// Records a request of a caller and returns the usual time that targets work on requests of
    /// its priority; zero if unknown.
    duration record_request(std::uint32_t priority, bool has_objective, time_point now);

    /// True if requests of the priority have latency objectives.
    [[nodiscard]] bool has_objective(std::uint32_t priority) const;

    /// Records whether the probes for a request, of all rounds of one pass, found a slot.
    void record_pass(bool found, time_point now);

    /// Records the end of an admission. `excess`: the request counts as less urgent than its
    /// priority, so that it says nothing about that.
    void record_decision(std::uint32_t priority, bool excess, bool granted, time_point now);

    /// Records how long a target worked on a request.
    void record_work(std::uint32_t priority, duration work, bool nearly_full);

    [[nodiscard]] bool is_short(time_point now) const;

    /// Number of more urgent priorities with recent requests, at most max_rank.
    [[nodiscard]] std::uint32_t rank_of(std::uint32_t priority, time_point now) const;

    /// Number of free slots that a request leaves at a target with so many slots.
    [[nodiscard]] std::uint32_t
    reserve(std::uint32_t priority, std::uint32_t rank, std::uint32_t slots, time_point now) const;

    /// Part of what requests leave to others that they still leave if this is the granted fraction
    /// of their priority or organisation: less than 1 if it is much lower than the service's.
    [[nodiscard]] double part_kept(std::optional<double> served_fraction, time_point now) const;

    /// The reserves are those at a target with so many slots.
    [[nodiscard]] shortage_dump
    dump(const std::string& service, std::uint32_t slots, time_point now) const;

    /// No rank is later than this one.
    static constexpr std::uint32_t max_rank = 3;

private:
    /// Requests of one priority.
    struct request_class
    {
        request_class();
        [[nodiscard]] std::optional<double> served_fraction(time_point now) const;
        decaying_sum decided;
        decaying_sum granted;
        time_point last_seen{};
        /// Moving average; zero if unknown.
        duration work{};
        bool has_objective = false;
    };

    /// Fraction of the recent passes that found no slot; zero if there were too few.
    [[nodiscard]] double level(time_point now) const;
    [[nodiscard]] static double part_kept(double served_fraction, double reference);
    /// True if nearly all recent requests are at least as urgent as `priority`.
    [[nodiscard]] bool is_least_urgent(std::uint32_t priority, time_point now) const;
    request_class& class_of(std::uint32_t priority, time_point now);

    decaying_sum passes_;
    decaying_sum failed_passes_;
    decaying_sum decided_;
    decaying_sum granted_;
    bool short_of_slots_ = false;
    nearly_full_cost nearly_full_;
    /// By priority.
    std::map<std::uint32_t, request_class> classes_;
};

} // namespace catkintally::core
