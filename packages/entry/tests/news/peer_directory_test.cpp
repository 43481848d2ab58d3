#include <catkintally/entry/news/peer_directory.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

live_peer peer(const std::string& address, const std::string& domain, core::duration at = 0s)
{
    return {.address = address, .failure_domain = domain, .alive_at = core::time_point(at)};
}

} // namespace

// Guards against a fleet that splits because all neighbours are in one failure domain, and against
// neighbours that are replaced while they are still alive.
TEST_CASE("two near neighbours and one far neighbour are chosen and kept")
{
    peer_directory directory("self", "d1", {"self", "s1", "s2", "s3"}, 5);
    CHECK(directory.choose_neighbours({}) == std::vector<std::string>{"s1", "s2"});
    for (int index = 0; index < 20; ++index)
    {
        directory.record_alive(peer("near" + std::to_string(index), "d1"));
        directory.record_alive(peer("far" + std::to_string(index), "d2"));
    }
    directory.record_alive(peer("self", "d1"));
    CHECK(directory.instances() == 41);
    CHECK(directory.near_instances() == 21);
    const auto chosen = directory.choose_neighbours({});
    CHECK(chosen.size() == 3);
    CHECK(
        std::count_if(
            chosen.begin(), chosen.end(),
            [](const auto& each) { return each.starts_with("near"); }) == 2);
    CHECK(std::set(chosen.begin(), chosen.end()).size() == 3);
    const auto again = directory.choose_neighbours(chosen);
    CHECK(std::set(again.begin(), again.end()) == std::set(chosen.begin(), chosen.end()));
}

// Guards against an instance count that includes instances that have left.
TEST_CASE("instances not known to be alive within the retention period are removed")
{
    peer_directory directory("self", "d1", {}, 5);
    directory.record_alive(peer("a", "d1", 10s));
    directory.record_alive(peer("b", "d1", 20s));
    // An earlier time does not replace a later one.
    directory.record_alive(peer("b", "d1", 1s));
    directory.remove_expired(core::time_point(25s));
    CHECK(directory.instances() == 2);
    CHECK(directory.sample(5).at(0).address == "b");
}
