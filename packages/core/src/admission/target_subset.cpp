#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/admission/target_subset.hpp>

#include <algorithm>
#include <functional>
#include <tuple>

namespace catkintally::core
{

namespace
{

/// Targets are asked three at a time, so this leaves a choice between several threes. An instance
/// with two requests a second then asks each target every two seconds, while targets close idle
/// connections after about ten.
constexpr std::size_t smallest_subset = 12;

/// Instances that use a target on average. With independent choices, one target in 3000 is used by
/// none of them as a rule.
constexpr std::size_t users_per_target = 8;

} // namespace

std::uint64_t target_rank(const std::string& instance, const std::string& target)
{
    return split_mix(std::hash<std::string>()(instance + '/' + target)).next();
}

std::size_t subset_size(std::size_t targets, std::size_t instances)
{
    const std::size_t divisor = std::max<std::size_t>(instances, 1);
    const std::size_t shared = (targets * users_per_target + divisor - 1) / divisor;
    return std::max(shared, smallest_subset);
}

std::vector<subset_candidate>
select_subset(std::vector<subset_candidate> members, std::size_t instances, std::uint32_t round)
{
    const auto near = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const subset_candidate& each) { return each.near; }));
    // Each round doubles the number. Targets of other domains fill up a domain that has few.
    const std::size_t near_kept = std::min(near, subset_size(near, instances) << round);
    const std::size_t filled = std::max(near_kept, smallest_subset << round);
    const std::size_t kept = std::min(near_kept < near ? near_kept : filled, members.size());
    std::nth_element(
        members.begin(), members.begin() + static_cast<std::ptrdiff_t>(kept), members.end(),
        [](const subset_candidate& a, const subset_candidate& b)
        { return std::tie(b.near, a.rank) < std::tie(a.near, b.rank); });
    members.resize(kept);
    return members;
}

} // namespace catkintally::core
