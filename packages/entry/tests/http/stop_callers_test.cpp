#include "support/virtual_instance.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkintally::entry;
using namespace std::chrono_literals;
namespace core = catkintally::core;

namespace
{

/// Small enough for most of a long answer to stay with the instance and its kernel.
constexpr int small_buffer = 8'192;

std::int64_t ms_of(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// A connection on which a caller sends requests, and their ids.
struct stream_of_requests
{
    explicit stream_of_requests(virtual_instance& to, int receive_buffer = 0)
        : caller(to.port, receive_buffer)
        , instance(to)
    {
    }

    void send(
        const std::string& method = "GET",
        core::duration deadline = 5s,
        const std::string& extra = "")
    {
        caller.send(instance.request(method, deadline, extra));
        ids.push_back(instance.last_id());
    }

    [[nodiscard]] std::size_t outstanding() const { return ids.size() - caller.answers.size(); }

    plain_caller caller;
    virtual_instance& instance;
    std::vector<std::string> ids;
};

} // namespace

// Guards against a connection that a planned stop never ends because its caller always has a
// request outstanding on it: at the end of the grace its requests are cut or refused.
TEST_CASE("a caller that pipelines without a pause is told to close early in a planned stop")
{
    const std::size_t depth = GENERATE(2U, 8U, 32U);
    const auto work = GENERATE(5ms, 100ms, 400ms);
    const auto deadline = GENERATE(450ms, 1'100ms);
    const std::string method = GENERATE("GET", "POST");
    INFO(
        method << " depth " << depth << ", work " << work.count() << " ms, deadline "
               << deadline.count() << " ms");
    virtual_instance fixture;
    fixture.next_work.time = work;
    stream_of_requests stream(fixture);
    const auto go_on = [&]
    {
        stream.caller.read();
        if (!stream.caller.told_to_close && stream.caller.end == connection_end::none &&
            stream.outstanding() < depth)
        {
            stream.send(method, deadline);
        }
    };
    fixture.run_for(600ms, go_on);
    REQUIRE(stream.caller.answers.size() > depth / 2);
    fixture.stop();
    core::duration closed{};
    fixture.run_to_end(
        [&]
        {
            go_on();
            if (closed == core::duration::zero() && stream.caller.told_to_close)
            {
                closed = fixture.since_stop();
            }
        });
    fixture.read_all(stream.caller, stream.ids.size());
    INFO(
        "told to close after " << ms_of(closed) << " ms, process ended after "
                               << ms_of(fixture.ended_after) << " ms");
    fixture.check_answers(stream.caller, stream.ids);
    CHECK(stream.caller.told_to_close);
    // The targets need a third of the grace at most.
    CHECK(closed <= fixture.plan.grace / 2);
}

// Guards against answers that are lost by a reset because the caller sends further requests after
// `Connection: close`, and against passing these requests on.
TEST_CASE("answers survive a caller that goes on sending after Connection: close")
{
    const std::size_t body = GENERATE(2U, 40'000U, 280'000U);
    const int buffer = GENERATE(0, small_buffer);
    enum class reading
    {
        at_once,
        slowly,
        late
    };
    const auto how = GENERATE(reading::at_once, reading::slowly, reading::late);
    INFO("body " << body << ", receive buffer " << buffer << ", reading " << static_cast<int>(how));
    // The grace leaves enough time to read all at this rate.
    virtual_instance fixture({.grace = 6s});
    fixture.next_work = {.time = 50ms, .body_bytes = body};
    stream_of_requests stream(fixture, buffer);
    stream.send();
    fixture.run_for(10ms);
    fixture.stop();
    fixture.run_for(60ms);
    fixture.next_work = {};
    std::size_t passed = 0;
    fixture.run_to_end(
        [&]
        {
            if (!stream.caller.send_failed && stream.caller.end == connection_end::none)
            {
                stream.send();
            }
            if (how == reading::at_once || (how == reading::late && fixture.since_stop() > 3s))
            {
                stream.caller.read();
            }
            else if (how == reading::slowly && ++passed % 10 == 0)
            {
                fixture.read_slowly(stream.caller, 1'000, 1);
            }
        });
    fixture.read_all(stream.caller, 1);
    INFO(
        "read " << stream.caller.bytes_read << " bytes, end " << name_of(stream.caller.end)
                << ", process ended after " << ms_of(fixture.ended_after) << " ms");
    CHECK(fixture.run.size() == 1);
    REQUIRE(stream.caller.answers.size() == 1);
    CHECK(fixture.whole(stream.caller.answers[0], stream.ids[0]));
    CHECK(stream.caller.told_to_close);
}

// Guards against a stopping process that ends before callers that read slowly have their answers.
TEST_CASE("slow readers get whole answers around a planned stop")
{
    const std::size_t body = GENERATE(40'000U, 280'000U);
    const int buffer = GENERATE(0, small_buffer);
    // Time from the request to the signal: the answer is written before, around or after it.
    const auto before = GENERATE(100ms, 51ms, 1ms);
    const bool after_end = GENERATE(false, true);
    INFO(
        "body " << body << ", receive buffer " << buffer << ", request " << before.count()
                << " ms before the signal, read after the end of the process: " << after_end);
    virtual_instance fixture({.grace = 6s});
    fixture.next_work = {.time = 50ms, .body_bytes = body};
    std::vector<std::unique_ptr<stream_of_requests>> streams;
    for (int each = 0; each < 3; ++each)
    {
        streams.push_back(std::make_unique<stream_of_requests>(fixture, buffer));
        streams.back()->send(each == 0 ? "POST" : "GET");
    }
    fixture.run_for(before);
    fixture.stop();
    std::size_t passed = 0;
    fixture.run_to_end(
        [&]
        {
            if (!after_end && ++passed % 10 == 0)
            {
                for (const auto& stream : streams)
                {
                    fixture.read_slowly(stream->caller, 1'000, 1);
                }
            }
        });
    INFO("process ended after " << ms_of(fixture.ended_after) << " ms");
    for (const auto& stream : streams)
    {
        fixture.read_all(stream->caller, 1);
        INFO("read " << stream->caller.bytes_read << " bytes");
        fixture.check_answers(stream->caller, stream->ids);
        CHECK(stream->caller.answers.size() == 1);
    }
}

// Guards against a request that crosses the close of its idle connection and is passed on without
// an answer, and against a process that ends while a whole request lies unread in the socket of an
// open connection.
TEST_CASE("a request on an idle connection is answered or was sent after its close")
{
    // Kept connections are closed with the listener 300 ms after the signal. One that was opened
    // just before is idle after half a second without a request.
    const bool kept = GENERATE(true, false);
    const int offset = GENERATE(range(-6, 7));
    const bool other_busy = GENERATE(false, true);
    const auto sent_at =
        (kept ? 300ms : 790ms) + std::chrono::milliseconds(offset * (kept ? 1 : 5));
    INFO(
        "kept " << kept << ", sent " << sent_at.count()
                << " ms after the signal, another busy: " << other_busy);
    virtual_instance fixture;
    std::unique_ptr<stream_of_requests> stream;
    if (kept)
    {
        stream = std::make_unique<stream_of_requests>(fixture);
        stream->send();
        fixture.run_for(100ms);
        stream->caller.read();
        REQUIRE(stream->caller.answers.size() == 1);
    }
    fixture.stop();
    stream_of_requests other(fixture);
    if (other_busy)
    {
        fixture.next_work.time = 1s;
        other.send();
        fixture.next_work.time = 5ms;
    }
    else
    {
        other.caller.close();
    }
    fixture.run_for(290ms);
    if (!kept)
    {
        stream = std::make_unique<stream_of_requests>(fixture);
    }
    while (fixture.since_stop() < sent_at)
    {
        fixture.run_for(1ms);
    }
    stream->caller.read();
    const bool open = stream->caller.end == connection_end::none;
    stream->send("POST", 300ms);
    // The request is in the socket when the next timers are due.
    stream->caller.await_delivery();
    fixture.run_to_end([&] { stream->caller.read(); });
    fixture.read_all(stream->caller, stream->ids.size());
    INFO("open " << open << ", process ended after " << ms_of(fixture.ended_after) << " ms");
    fixture.check_answers(stream->caller, stream->ids);
    if (open)
    {
        CHECK(stream->caller.answers.size() == stream->ids.size());
    }
    if (other_busy)
    {
        fixture.read_all(other.caller, 1);
        fixture.check_answers(other.caller, other.ids);
    }
}

// Guards against connections from the listen queue that lose their request: they are established
// for their callers although the instance has not accepted them when it closes its listener.
TEST_CASE("connections from the listen queue are answered whenever they send their first request")
{
    const std::size_t count = GENERATE(1U, 200U);
    // Time from the close of the listener to the first request.
    const auto delay = GENERATE(-1ms, 1ms, 100ms, 480ms);
    INFO(count << " connections, first request after " << delay.count() << " ms");
    virtual_instance fixture;
    fixture.stop();
    fixture.run_for(299ms);
    std::vector<std::unique_ptr<stream_of_requests>> streams;
    for (std::size_t each = 0; each < count; ++each)
    {
        streams.push_back(std::make_unique<stream_of_requests>(fixture));
        REQUIRE_FALSE(streams.back()->caller.refused);
    }
    const auto send_all = [&]
    {
        for (const auto& stream : streams)
        {
            stream->send("POST", 300ms);
            stream->caller.await_delivery();
        }
    };
    if (delay < 0ms)
    {
        send_all();
    }
    else
    {
        fixture.run_for(1ms);
        CHECK(plain_caller(fixture.port).refused);
        fixture.run_for(delay);
        send_all();
    }
    fixture.run_to_end(
        [&]
        {
            for (const auto& stream : streams)
            {
                stream->caller.read();
            }
        });
    for (const auto& stream : streams)
    {
        fixture.read_all(stream->caller, 1);
        fixture.check_answers(stream->caller, stream->ids);
        CHECK(stream->caller.answers.size() == 1);
    }
}

// Guards against a connection that is made while the listener closes and is reset after its caller
// has sent a request on it.
TEST_CASE("a caller that connects while the listener closes is refused or answered")
{
    const int at = GENERATE(range(296, 305));
    INFO("connected " << at << " ms after the signal");
    virtual_instance fixture;
    fixture.stop();
    fixture.run_for(std::chrono::milliseconds(at));
    stream_of_requests stream(fixture);
    if (stream.caller.refused)
    {
        CHECK(at >= 300);
        return;
    }
    stream.send();
    fixture.run_to_end([&] { stream.caller.read(); });
    fixture.read_all(stream.caller, 1);
    fixture.check_answers(stream.caller, stream.ids);
    CHECK(stream.caller.answers.size() == 1);
}

// Guards against a second signal that begins the stop anew or ends requests that are at work, and
// against one that comes before the instance has a table.
TEST_CASE("a repeated stop changes nothing and an early one loses no request")
{
    struct row
    {
        bool with_table;
        std::vector<int> stops;
    };
    const auto sample = GENERATE(values<row>(
        {{true, {0, 0}},
         {true, {0, 100}},
         {true, {0, 305}},
         {true, {0, 100, 305, 500, 900}},
         {false, {0, 50}}}));
    const bool directly = GENERATE(true, false);
    INFO(
        "table " << sample.with_table << ", " << sample.stops.size() << " stops, directly after "
                 << "listen: " << directly);
    virtual_instance fixture({.with_table = sample.with_table});
    if (!directly)
    {
        fixture.run_for(700ms);
    }
    fixture.next_work.time = 600ms;
    std::vector<std::unique_ptr<stream_of_requests>> streams;
    for (const std::string method : {"GET", "POST"})
    {
        streams.push_back(std::make_unique<stream_of_requests>(fixture));
        streams.back()->send(method, 1s);
    }
    std::size_t next = 0;
    fixture.stop();
    fixture.run_to_end(
        [&]
        {
            while (fixture.self && next < sample.stops.size() &&
                   fixture.since_stop() >= std::chrono::milliseconds(sample.stops[next]))
            {
                ++next;
                fixture.stop();
            }
            for (const auto& stream : streams)
            {
                stream->caller.read();
                if (stream->caller.told_to_close)
                {
                    stream->caller.close();
                }
            }
        });
    INFO("process ended after " << ms_of(fixture.ended_after) << " ms");
    for (const auto& stream : streams)
    {
        fixture.read_all(stream->caller, 1);
        fixture.check_answers(stream->caller, stream->ids);
        CHECK(stream->caller.answers.size() == 1);
        CHECK(fixture.has_run(stream->ids[0]) == sample.with_table);
    }
    CHECK(fixture.stopped_calls == 1);
}
