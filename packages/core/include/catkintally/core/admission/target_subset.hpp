#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A target among which an instance chooses the ones to probe.
struct subset_candidate
{
    /// Position of the target in the order of the instance; see target_rank.
    std::uint64_t rank = 0;
    /// True if the target is in the failure domain of the instance.
    bool near = false;
    /// Index in the list of targets from which the candidates were built.
    std::size_t index = 0;
};

/// Position of a target in the order of one instance. The orders of different instances are
/// independent, so that together they spread their load evenly over all targets.
[[nodiscard]] std::uint64_t target_rank(const std::string& instance, const std::string& target);

/// Number of targets in its own failure domain that an instance normally uses, out of `targets`.
/// Small, so that requests find open connections to reuse, but large enough for each target to be
/// used by several of the `instances` in the domain. May exceed `targets`.
[[nodiscard]] std::size_t subset_size(std::size_t targets, std::size_t instances);

/// Reduces `members` to the targets that may be probed in the given round of probes (0 is the
/// first): the subset that the instance normally uses in its own failure domain, filled up with
/// targets of other domains if the own one has few. Each further round doubles the number.
[[nodiscard]] std::vector<subset_candidate>
select_subset(std::vector<subset_candidate> members, std::size_t instances, std::uint32_t round);

} // namespace catkintally::core
