#include <catkintally/core/admission/target_subset.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace catkintally::core;

namespace
{

std::vector<subset_candidate>
members_of(const std::string& instance, std::size_t near, std::size_t far)
{
    std::vector<subset_candidate> members;
    for (std::size_t index = 0; index < near + far; ++index)
    {
        members.push_back(
            {.rank = target_rank(instance, "t" + std::to_string(index)),
             .near = index < near,
             .index = index});
    }
    return members;
}

} // namespace

// Guards against an instance of a large fleet that spreads its few requests over all targets and
// finds no open connection at any of them: on grown days each request cost a new connection.
TEST_CASE("an instance uses a part of the targets, and more when it finds no slot")
{
    struct row
    {
        const char* name;
        std::size_t near;
        std::size_t far;
        std::size_t instances;
        std::vector<std::size_t> kept;
    };
    const auto each = GENERATE(values<row>(
        {{"small service", 3, 5, 4, {8, 8, 8}},
         {"large service", 53, 160, 32, {14, 28, 53}},
         {"few instances", 50, 0, 5, {50, 50, 50}},
         {"some instances", 50, 10, 15, {27, 50, 50}},
         {"a domain with few targets", 4, 60, 32, {12, 24, 48}},
         {"a domain that was taken out", 0, 160, 32, {12, 24, 48}}}));
    INFO(each.name);
    for (std::uint32_t round = 0; round < each.kept.size(); ++round)
    {
        const auto kept =
            select_subset(members_of("i1", each.near, each.far), each.instances, round);
        CHECK(kept.size() == each.kept[round]);
    }
}

// Guards against subsets that change from request to request, and against wider rounds that leave
// out targets of narrower ones.
TEST_CASE("the subset of an instance is stable and grows with the round")
{
    std::set<std::size_t> before;
    for (std::uint32_t round = 0; round < 3; ++round)
    {
        std::set<std::size_t> kept;
        for (const subset_candidate& each : select_subset(members_of("i1", 60, 0), 30, round))
        {
            kept.insert(each.index);
        }
        std::set<std::size_t> again;
        auto shuffled = members_of("i1", 60, 0);
        std::reverse(shuffled.begin(), shuffled.end());
        for (const subset_candidate& each : select_subset(std::move(shuffled), 30, round))
        {
            again.insert(each.index);
        }
        CHECK(kept == again);
        CHECK(std::includes(kept.begin(), kept.end(), before.begin(), before.end()));
        before = kept;
    }
}

// Guards against targets that no instance uses, and against some that most instances use.
TEST_CASE("the instances of a domain use all its targets")
{
    struct row
    {
        std::size_t targets;
        std::size_t instances;
    };
    const auto each = GENERATE(row{53, 32}, row{16, 32}, row{50, 6}, row{300, 100});
    std::map<std::size_t, std::size_t> users;
    std::size_t sum = 0;
    for (std::size_t instance = 0; instance < each.instances; ++instance)
    {
        const auto kept = select_subset(
            members_of("i" + std::to_string(instance), each.targets, 0), each.instances, 0);
        sum += kept.size();
        for (const subset_candidate& member : kept)
        {
            ++users[member.index];
        }
    }
    CHECK(users.size() == each.targets);
    const double mean = static_cast<double>(sum) / static_cast<double>(each.targets);
    for (const auto& [target, count] : users)
    {
        CHECK(static_cast<double>(count) <= 3 * mean);
    }
}
