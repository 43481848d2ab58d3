#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/admission/target_subset.hpp>

#include <algorithm>
#include <functional>
#include <tuple>

namespace catkintally::core
{

namespace
{

/// Targets are probed three at a time, so a subset of this size holds several groups of three to
/// choose from. An instance with two requests per second then probes each target every two seconds,
/// while targets close idle connections after about ten seconds.
constexpr std::size_t min_subset_size = 12;

/// Mean number of instances that have a target in their subset. With independent choices, about one
/// target in 3000 is in no subset.
constexpr std::size_t instances_per_target = 8;

} // namespace

std::uint64_t target_rank(const std::string& instance, const std::string& target)
{
    return split_mix(std::hash<std::string>()(instance + '/' + target)).next();
}

std::size_t subset_size(std::size_t targets, std::size_t instances)
{
    const std::size_t divisor = std::max<std::size_t>(instances, 1);
    const std::size_t per_instance = (targets * instances_per_target + divisor - 1) / divisor;
    return std::max(per_instance, min_subset_size);
}

std::vector<subset_candidate>
select_subset(std::vector<subset_candidate> members, std::size_t instances, std::uint32_t round)
{
    const auto near = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const subset_candidate& each) { return each.near; }));
    // Each round doubles the number. If the own domain has few targets, others fill up the subset.
    const std::size_t near_count = std::min(near, subset_size(near, instances) << round);
    const std::size_t filled_count = std::max(near_count, min_subset_size << round);
    const std::size_t count =
        std::min(near_count < near ? near_count : filled_count, members.size());
    std::nth_element(
        members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(),
        [](const subset_candidate& a, const subset_candidate& b)
        { return std::tie(b.near, a.rank) < std::tie(a.near, b.rank); });
    members.resize(count);
    return members;
}

} // namespace catkintally::core
