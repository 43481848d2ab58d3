#include <catkintally/core/idempotency/key_registry.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

idempotency_record record_of(const std::string& key, key_state state, time_point changed)
{
    return {
        .key = key,
        .state = state,
        .request = std::hash<std::string>{}(key),
        .dispatcher = "i0#1",
        .fingerprint = 0,
        .changed = changed};
}

} // namespace

// Guards against a request that runs a second time because its key was evicted: a full registry
// refuses new keys instead.
TEST_CASE("a full registry refuses new keys and evicts none before the end of their retention")
{
    key_registry registry({.capacity = 2, .retention = 10s});
    const time_point start{};
    CHECK(registry.insert(record_of("a", key_state::done, start)));
    CHECK(registry.insert(record_of("b", key_state::granted, start + 5s)));
    CHECK_FALSE(registry.insert(record_of("c", key_state::queued, start + 6s)));
    registry.expire(start + 9'999ms);
    CHECK(registry.size() == 2);
    registry.expire(start + 10s);
    CHECK(registry.find("a") == nullptr);
    CHECK(registry.find("b") != nullptr);
    CHECK(registry.insert(record_of("c", key_state::queued, start + 10s)));

    // Recovered records are kept even beyond the capacity.
    registry.merge(record_of("d", key_state::done, start + 10s));
    CHECK(registry.size() == 3);
    CHECK(registry.full());
}

// Guards against a merge that returns a record to an earlier state, such as from done to granted.
TEST_CASE("a merge keeps the record in the later state")
{
    const std::vector<key_state> order{
        key_state::queued, key_state::granted, key_state::unknown, key_state::done};
    for (std::size_t left = 0; left < order.size(); ++left)
    {
        for (std::size_t right = 0; right < order.size(); ++right)
        {
            key_registry registry;
            registry.merge(record_of("k", order[left], time_point{}));
            registry.merge(record_of("k", order[right], time_point{}));
            CHECK(registry.find("k")->state == order[std::max(left, right)]);
        }
    }
}

// Guards against a completion whose record is not found after another attempt took over the key.
TEST_CASE("records are found by the request that carries the key")
{
    key_registry registry;
    registry.insert(record_of("k", key_state::queued, time_point{}));
    registry.set_request("k", 42, "i1#1");
    REQUIRE(registry.find_by_request(42) != nullptr);
    CHECK(registry.find_by_request(42)->key == "k");
    CHECK(registry.find_by_request(record_of("k", key_state::done, {}).request) == nullptr);
    registry.remove("k");
    CHECK(registry.find_by_request(42) == nullptr);
}
