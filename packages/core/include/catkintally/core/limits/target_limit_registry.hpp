#pragma once

#include <catkintally/core/limits/target_limit.hpp>
#include <catkintally/core/table/table_snapshot.hpp>
#include <catkintally/core/targets/limit_statement.hpp>
#include <catkintally/core/time/timer_service.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace catkintally::core
{

/// A limit that is believed to hold, and since when.
struct known_limit
{
    target_limit limit;
    /// Time at which this instance learned of the limit.
    time_point since{};
    /// Consecutive responses of executed requests without a limit.
    std::uint32_t absent_in_a_row = 0;
};

/// A statement about the limit of a target in a response that this instance received.
struct observed_statement
{
    limit_statement statement;
    /// Time at which the request was sent.
    time_point sent_at{};
    /// The target executed the request, so that a response without a limit withdraws it. Health
    /// checks and refusals do not.
    bool executed = false;
};

/// Current limits of all targets, from the instance's own responses and from other instances.
///
/// A limit is replaced by one with a higher version, and at equal versions by the lower limit, so
/// that the order in which news arrive does not matter. A response to a request that was sent
/// before the current limit became known may be older than it; such a response can only lower the
/// limit. A limit counts as withdrawn after two responses without one, so that a target that leaves
/// it out once is not flooded.
class target_limit_registry
{
public:
    explicit target_limit_registry(std::string self)
        : self_(std::move(self))
    {
    }

    /// Applies a statement to the target's current incarnation; true if the limit has changed.
    bool observe(
        const std::string& service,
        const target_row& target,
        const observed_statement& observed,
        time_point now);

    /// Applies a limit that another instance sent; true if it was unknown here.
    bool merge(const target_limit& received, time_point now);

    /// True if the limit is unknown and there is no room for it.
    [[nodiscard]] bool is_full_for(const target_limit& received) const;

    /// The limit of the target's incarnation, or nullptr if none is known. A limit that was
    /// withdrawn is returned with an empty rate.
    [[nodiscard]] const known_limit*
    find(const std::string& service, const target_row& target) const;

    /// All limits, including withdrawn ones, to be sent to an instance that starts.
    [[nodiscard]] std::vector<target_limit> all() const;

    /// Removes the limits of targets that are not in the table. Those learned recently are kept,
    /// because news of a target may arrive before the target's row.
    void retain(const table_snapshot& table, time_point now);

    [[nodiscard]] std::size_t size() const { return limits_.size(); }

    /// Most limits that are kept.
    static constexpr std::size_t max_limits = 16'384;

private:
    using key = std::tuple<std::string, std::string, std::uint64_t>;

    std::string self_;
    std::map<key, known_limit> limits_;
};

} // namespace catkintally::core
