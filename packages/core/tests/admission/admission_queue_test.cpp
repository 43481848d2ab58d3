#include <catkintally/core/admission/admission_queue.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using namespace std::chrono_literals;

namespace
{

queued_request make_request(request_id id, work_class work, duration deadline = 1s)
{
    queued_request entry;
    entry.request.id = id;
    entry.work = work;
    entry.deadline = time_point{} + deadline;
    return entry;
}

bool accept_all(const queued_request&)
{
    return true;
}

} // namespace

// Guards against starvation of archive work by a steady stream of lookups.
TEST_CASE("archive requests get every 8th grant while both classes wait")
{
    admission_queue queue;
    for (request_id id = 1; id <= 40; ++id)
    {
        queue.push(make_request(id, work_class::lookup));
        queue.push(make_request(100 + id, work_class::archive));
    }
    std::vector<std::size_t> archive_positions;
    for (std::size_t position = 1; position <= 24; ++position)
    {
        if (queue.pop(accept_all)->work == work_class::archive)
        {
            archive_positions.push_back(position);
        }
    }
    CHECK(archive_positions == std::vector<std::size_t>{8, 16, 24});
}

// Guards against head-of-line blocking by a request that no target can take.
TEST_CASE("a request that no target can take does not block the next one")
{
    admission_queue queue;
    queue.push(make_request(1, work_class::order));
    queue.push(make_request(2, work_class::order));
    const auto entry = queue.pop([](const queued_request& e) { return e.request.id == 2; });
    REQUIRE(entry);
    CHECK(entry->request.id == 2);
    CHECK(queue.contains(1));
}

// Guards against a request that stays in the queue after its deadline, whatever its class.
TEST_CASE("requests are found by deadline and by id")
{
    admission_queue queue;
    queue.push(make_request(1, work_class::lookup, 50ms));
    queue.push(make_request(2, work_class::archive, 20ms));
    CHECK(queue.earliest_deadline() == time_point{} + 20ms);
    CHECK_FALSE(queue.pop_due(time_point{} + 19ms));
    CHECK(queue.pop_due(time_point{} + 20ms)->request.id == 2);
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK(queue.size() == 0);
}
