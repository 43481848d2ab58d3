#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

/// One target as seen by an instance that chooses whom to ask.
struct subset_candidate
{
    /// Place of the target in the instance's own order; see target_rank.
    std::uint64_t rank = 0;
    /// The target stands in the instance's failure domain.
    bool near = false;
    /// Index in the caller's list of targets.
    std::size_t index = 0;
};

/// Place of a target in the order of one instance. Orders of different instances are independent,
/// so that together they use all targets alike.
[[nodiscard]] std::uint64_t target_rank(const std::string& instance, const std::string& target);

/// Targets of its own failure domain that an instance uses as a rule. Few, so that requests find
/// connections at hand that are still open; but enough for each target to be used by several of the
/// `instances` in the domain.
[[nodiscard]] std::size_t subset_size(std::size_t targets, std::size_t instances);

/// Narrows `members` to the ones to choose from in a round of questions (0 is the first): those of
/// the own failure domain that the instance uses as a rule, filled up with some of other domains
/// where the own one has few, and twice as many in each further round.
[[nodiscard]] std::vector<subset_candidate>
select_subset(std::vector<subset_candidate> members, std::size_t instances, std::uint32_t round);

} // namespace catkintally::core
