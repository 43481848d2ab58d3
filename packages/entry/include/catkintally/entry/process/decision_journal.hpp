#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>

#include <boost/json.hpp>

#include <cstddef>
#include <deque>
#include <string>

namespace catkintally::entry
{

/// The newest admission decisions of this instance, for `catkintallyctl why`. Bounded: the oldest
/// decisions are dropped first.
class decision_journal
{
public:
    /// `timers` must outlive this object.
    explicit decision_journal(core::timer_service& timers, std::size_t capacity = 20'000);

    /// Returns a gateway that records what passes through `inner`.
    [[nodiscard]] core::admission_gateway record(const core::admission_gateway& inner);

    /// All steps recorded for a request, oldest first, with their age in milliseconds. `id` has the
    /// form of the response header catkintally-request-id.
    [[nodiscard]] boost::json::array find(const std::string& id) const;

private:
    struct step
    {
        core::request_id id = 0;
        core::time_point at{};
        std::string service;
        /// "asked", "decided" or "completed".
        const char* kind = "";
        /// Name of the decision or of the outcome.
        std::string result;
        std::string target;
    };

    void add(step added);

    core::timer_service& timers_;
    std::size_t capacity_;
    std::deque<step> steps_;
};

} // namespace catkintally::entry
