#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/stand_ins/load/call_result.hpp>

#include <boost/json.hpp>

#include <array>
#include <map>
#include <string>
#include <vector>

namespace catkintally::stand_ins
{

/// Smallest sample that at least `probability` of all samples do not exceed; zero without samples.
[[nodiscard]] core::duration quantile(std::vector<core::duration> samples, double probability);

/// Collects what callers saw and turns it into the JSON summary. Times count from the start.
class load_summary
{
public:
    /// `marks` are the starts of the second and later phases, in ascending order.
    explicit load_summary(std::vector<core::duration> marks);

    /// A request that is sent for the first time.
    void note_sent(bool order);
    /// One response or failure, also if the caller sends again.
    void note_attempt(call_result result, bool own_answer);
    /// Final result of a request that was sent first at `sent`.
    void note_final(
        bool order,
        const std::string& key,
        call_result result,
        unsigned attempts,
        core::duration sent,
        core::duration ended);

    /// Longest time between two answered requests so far.
    [[nodiscard]] core::duration longest_gap() const { return longest_gap_; }
    [[nodiscard]] boost::json::object to_json() const;

private:
    struct order_entry
    {
        call_result result;
        unsigned attempts;
        core::duration sent;
        core::duration ended;
    };

    std::size_t phase_of(core::duration time) const;

    std::vector<core::duration> marks_;
    std::array<std::uint64_t, 2> sent_{};
    std::array<std::array<std::uint64_t, call_result_count>, 2> final_{};
    std::array<std::uint64_t, call_result_count> attempts_{};
    std::uint64_t wrong_answers_ = 0;
    /// Latency of answered requests, by class (lookup, order) and phase.
    std::array<std::vector<std::vector<core::duration>>, 2> latencies_;
    std::map<std::string, order_entry> orders_;
    core::duration last_answer_{};
    core::duration longest_gap_{};
};

} // namespace catkintally::stand_ins
