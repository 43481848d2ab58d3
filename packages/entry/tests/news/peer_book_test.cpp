#include <catkintally/entry/news/peer_book.hpp>

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

// Guards against instances that are cut off because all their neighbours stand in one domain, and
// against neighbours that change for no reason.
TEST_CASE("neighbours are few, near and far, and are kept")
{
    peer_book book("self", "d1", {"self", "s1", "s2", "s3"}, 5);
    CHECK(book.choose({}) == std::vector<std::string>{"s1", "s2"});
    for (int index = 0; index < 20; ++index)
    {
        book.note_alive(peer("near" + std::to_string(index), "d1"));
        book.note_alive(peer("far" + std::to_string(index), "d2"));
    }
    book.note_alive(peer("self", "d1"));
    CHECK(book.instances() == 41);
    CHECK(book.near_instances() == 21);
    const auto chosen = book.choose({});
    CHECK(chosen.size() == 3);
    CHECK(
        std::count_if(
            chosen.begin(), chosen.end(),
            [](const auto& each) { return each.starts_with("near"); }) == 2);
    CHECK(std::set(chosen.begin(), chosen.end()).size() == 3);
    const auto again = book.choose(chosen);
    CHECK(std::set(again.begin(), again.end()) == std::set(chosen.begin(), chosen.end()));
}

// Guards against instances that are gone and still count.
TEST_CASE("instances that were not alive for long are forgotten")
{
    peer_book book("self", "d1", {}, 5);
    book.note_alive(peer("a", "d1", 10s));
    book.note_alive(peer("b", "d1", 20s));
    // Older word does not replace newer word.
    book.note_alive(peer("b", "d1", 1s));
    book.forget_old(core::time_point(25s));
    CHECK(book.instances() == 2);
    CHECK(book.sample(5).at(0).address == "b");
}
