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
TEST_CASE(
    "a caller that pipelines without a pause is told to close early in a planned stop", "[stop]")
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
        if (fixture.self && !stream.caller.told_to_close &&
            stream.caller.end == connection_end::none && stream.outstanding() < depth)
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
TEST_CASE("answers survive a caller that goes on sending after Connection: close", "[stop]")
{
    struct row
    {
        std::size_t requests;
        std::size_t body;
    };
    const auto sample = GENERATE(values<row>({{1, 2}, {1, 40'000}, {1, 280'000}, {7, 40'000}}));
    const int buffer = GENERATE(0, small_buffer);
    enum class reading
    {
        at_once,
        slowly,
        late,
        /// The caller stops to send after a while.
        after_the_process
    };
    const auto how =
        GENERATE(reading::at_once, reading::slowly, reading::late, reading::after_the_process);
    // In calm the caller asks for the close.
    const bool stopping = GENERATE(true, false);
    INFO(
        sample.requests << " answers of " << sample.body << " bytes, receive buffer " << buffer
                        << ", reading " << static_cast<int>(how) << ", in a stop: " << stopping);
    // The grace leaves enough time to read all at this rate.
    virtual_instance fixture({.grace = 6s});
    fixture.next_work = {.time = 50ms, .body_bytes = sample.body};
    stream_of_requests stream(fixture, buffer);
    for (std::size_t sent = 1; sent <= sample.requests; ++sent)
    {
        const bool last = !stopping && sent == sample.requests;
        stream.send("GET", 5s, last ? "Connection: close\r\n" : "");
    }
    fixture.run_for(10ms);
    const auto begin = fixture.timers.now();
    if (stopping)
    {
        fixture.stop();
    }
    fixture.run_for(60ms);
    fixture.next_work = {};
    std::size_t passed = 0;
    while (fixture.self && fixture.timers.now() - begin < fixture.plan.grace)
    {
        fixture.run_for(1ms);
        const auto now = fixture.timers.now() - begin;
        // Requests that are sent after the end of the process draw a reset from its kernel.
        const bool sends = fixture.self && (how != reading::after_the_process || now < 500ms);
        if (sends && !stream.caller.send_failed && stream.caller.end == connection_end::none)
        {
            stream.send();
        }
        if (how == reading::at_once || (how == reading::late && now > 3s))
        {
            stream.caller.read();
        }
        else if (how == reading::slowly && ++passed % 10 == 0)
        {
            fixture.read_slowly(stream.caller, 1'000);
        }
    }
    fixture.read_all(stream.caller, sample.requests);
    INFO(
        "read " << stream.caller.bytes_read << " bytes, end " << name_of(stream.caller.end)
                << ", process ended after " << ms_of(fixture.ended_after) << " ms");
    CHECK(fixture.run.size() == sample.requests);
    stream.ids.resize(sample.requests);
    fixture.check_answers(stream.caller, stream.ids);
    CHECK(stream.caller.told_to_close);
}

// Guards against an answer that is in the send buffer when the process ends, and is dropped
// because the caller sends another request before it reads.
TEST_CASE("answers survive a caller that sends on and reads once the process has ended", "[stop]")
{
    const std::size_t body = GENERATE(40'000U, 280'000U);
    INFO("body " << body);
    virtual_instance fixture({.grace = 6s});
    fixture.next_work = {.time = 50ms, .body_bytes = body};
    stream_of_requests stream(fixture, small_buffer);
    stream.send("GET", 5s);
    fixture.run_for(10ms);
    const auto begin = fixture.timers.now();
    fixture.stop();
    while (fixture.self && fixture.timers.now() - begin < fixture.plan.grace)
    {
        fixture.run_for(10ms);
        stream.send();
    }
    REQUIRE_FALSE(fixture.self);
    fixture.run_for(10ms);
    for (int sent = 0; sent < 10; ++sent)
    {
        stream.send();
        fixture.run_for(1ms);
    }
    fixture.read_all(stream.caller, 1);
    INFO("read " << stream.caller.bytes_read << " bytes, end " << name_of(stream.caller.end));
    CHECK(fixture.run.size() == 1);
    stream.ids.resize(1);
    fixture.check_answers(stream.caller, stream.ids);
}

// Guards against answers that are lost by a reset because the caller has sent more requests than
// the instance reads from one connection at a time.
TEST_CASE("answers survive requests beyond the pipeline limit in a planned stop", "[stop]")
{
    const std::size_t requests = GENERATE(32U, 33U, 100U);
    const bool first_is_slowest = GENERATE(true, false);
    enum class reading
    {
        at_once,
        late,
        after_the_process
    };
    const auto how = GENERATE(reading::at_once, reading::late, reading::after_the_process);
    const bool before = GENERATE(true, false);
    INFO(
        requests << " requests, first is slowest: " << first_is_slowest << ", reading "
                 << static_cast<int>(how) << ", sent before the stop: " << before);
    virtual_instance fixture({.grace = 6s});
    stream_of_requests stream(fixture, small_buffer);
    const auto send_all = [&]
    {
        for (std::size_t sent = 0; sent < requests; ++sent)
        {
            const bool slow = (sent == 0) == first_is_slowest;
            fixture.next_work = {.time = slow ? 100ms : 20ms, .body_bytes = 8'000};
            stream.send("GET", 3s);
        }
    };
    if (before)
    {
        send_all();
        fixture.run_for(10ms);
    }
    fixture.stop();
    if (!before)
    {
        send_all();
    }
    fixture.run_to_end(
        [&]
        {
            if (how == reading::at_once || (how == reading::late && fixture.since_stop() > 3s))
            {
                stream.caller.read();
            }
        });
    fixture.read_all(stream.caller, requests);
    INFO(
        "read " << stream.caller.bytes_read << " bytes, run " << fixture.run.size()
                << ", process ended after " << ms_of(fixture.ended_after) << " ms");
    fixture.check_answers(stream.caller, stream.ids);
    CHECK(stream.caller.told_to_close);
}

// Guards against connections that wait without end for a caller that neither reads its answer nor
// closes.
TEST_CASE("a caller that never reads its last answer is dropped after the idle time", "[stop]")
{
    const std::size_t body = GENERATE(2U, 280'000U, 8'000'000U);
    INFO("answer of " << body << " bytes");
    virtual_instance fixture;
    fixture.next_work = {.time = 5ms, .body_bytes = body};
    stream_of_requests stream(fixture, small_buffer);
    stream.send("GET", 5s, "Connection: close\r\n");
    fixture.run_for(100ms);
    REQUIRE(fixture.run.size() == 1);
    // The default idle time is a minute. It may begin anew while the kernel takes more output.
    for (int minute = 0; minute < 10 && fixture.self->front().connections() > 0; ++minute)
    {
        fixture.run_for(60s);
    }
    CHECK(fixture.self->front().connections() == 0);
}

// Guards against a stopping process that ends before callers that read slowly have their answers.
TEST_CASE("slow readers get whole answers around a planned stop", "[stop]")
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
                    fixture.read_slowly(stream->caller, 1'000);
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
TEST_CASE("a request on an idle connection is answered or was sent after its close", "[stop]")
{
    // Kept connections are closed with the listener 300 ms after the signal. One that was opened
    // just before is idle after half a second without a request.
    const bool kept = GENERATE(true, false);
    const int offset = GENERATE(range(-3, 14));
    const bool other_busy = GENERATE(false, true);
    // The store may be slow to hear that the instance has left; requests may arrive meanwhile.
    const auto remove_time = GENERATE(0ms, 50ms);
    const std::size_t connections = GENERATE(1U, 5U);
    const auto sent_at = (kept ? 300ms : 790ms) + std::chrono::milliseconds(offset);
    INFO(
        "kept " << kept << ", sent " << sent_at.count() << " ms after the signal on " << connections
                << " connections, another busy: " << other_busy << ", removal takes "
                << remove_time.count() << " ms");
    virtual_instance fixture({.remove_time = remove_time});
    std::vector<std::unique_ptr<stream_of_requests>> streams;
    const auto open_streams = [&]
    {
        while (streams.size() < connections)
        {
            streams.push_back(std::make_unique<stream_of_requests>(fixture));
        }
    };
    if (kept)
    {
        open_streams();
        for (const auto& stream : streams)
        {
            stream->send();
        }
        fixture.run_for(100ms);
        for (const auto& stream : streams)
        {
            stream->caller.read();
            REQUIRE(stream->caller.answers.size() == 1);
        }
    }
    stream_of_requests other(fixture);
    if (other_busy)
    {
        fixture.next_work.time = 1s;
        other.send("GET", 1'090ms);
        fixture.run_for(1ms);
        fixture.next_work.time = 5ms;
    }
    else
    {
        other.caller.close();
    }
    fixture.stop();
    fixture.run_for(290ms);
    open_streams();
    while (fixture.self && fixture.since_stop() < sent_at)
    {
        fixture.run_for(1ms);
    }
    std::vector<bool> open;
    // Longer than the removal from the store.
    fixture.next_work.time = 100ms;
    for (const auto& stream : streams)
    {
        stream->caller.read();
        open.push_back(stream->caller.end == connection_end::none);
        stream->send("POST", 300ms);
    }
    for (const auto& stream : streams)
    {
        // The request is in the socket when the next timers are due.
        stream->caller.await_delivery();
    }
    fixture.run_to_end(
        [&]
        {
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
    for (std::size_t at = 0; at < streams.size(); ++at)
    {
        stream_of_requests& stream = *streams[at];
        fixture.read_all(stream.caller, stream.ids.size());
        INFO("connection " << at << " was open: " << open[at]);
        fixture.check_answers(stream.caller, stream.ids);
        if (open[at])
        {
            CHECK(stream.caller.answers.size() == stream.ids.size());
        }
    }
    if (other_busy)
    {
        fixture.read_all(other.caller, 1);
        fixture.check_answers(other.caller, other.ids);
    }
}

// Guards against an answer that is lost because its caller sends the next request before it has
// read all of it, and that request crosses the close of the connection, which looks idle.
TEST_CASE("an answer survives a request that crosses the close of its connection", "[stop]")
{
    const std::size_t body = GENERATE(2U, 40'000U, 280'000U);
    const int buffer = GENERATE(0, small_buffer);
    const bool other_busy = GENERATE(true, false);
    const auto sent_at = GENERATE(298ms, 299ms, 300ms, 301ms, 310ms, 500ms, 900ms);
    INFO(
        "answer of " << body << " bytes, receive buffer " << buffer
                     << ", another busy: " << other_busy << ", next request " << sent_at.count()
                     << " ms after the signal");
    virtual_instance fixture;
    stream_of_requests stream(fixture, buffer);
    fixture.next_work.body_bytes = body;
    stream.send();
    fixture.run_for(100ms);
    REQUIRE(fixture.run.size() == 1);
    stream_of_requests other(fixture);
    if (other_busy)
    {
        fixture.next_work.time = 1s;
        other.send("GET", 1'090ms);
        fixture.run_for(1ms);
    }
    else
    {
        other.caller.close();
    }
    fixture.next_work = {};
    fixture.stop();
    while (fixture.self && fixture.since_stop() < sent_at)
    {
        fixture.run_for(1ms);
    }
    // A process that has ended with an answer undelivered cannot prevent a reset any more.
    stream.send("GET", 100ms);
    fixture.run_for(5ms);
    fixture.run_to_end([&] { stream.caller.read(); });
    fixture.read_all(stream.caller, 2);
    INFO(
        "read " << stream.caller.bytes_read << " bytes, process ended after "
                << ms_of(fixture.ended_after) << " ms");
    fixture.check_answers(stream.caller, stream.ids);
    if (other_busy)
    {
        fixture.read_all(other.caller, 1);
        fixture.check_answers(other.caller, other.ids);
    }
}

// Guards against requests without an answer while the store is away, so that the listener stays
// open up to the end of the grace.
TEST_CASE("requests are answered up to the end of a stop without the store", "[stop]")
{
    const auto leave_time = GENERATE(0ms, 600ms, 10s);
    const auto remove_time = GENERATE(0ms, 200ms, 10s);
    INFO("leaving takes " << leave_time.count() << " ms, removal " << remove_time.count() << " ms");
    virtual_instance fixture({.leave_time = leave_time, .remove_time = remove_time});
    fixture.next_work.time = 50ms;
    struct first_request
    {
        std::unique_ptr<stream_of_requests> stream;
        core::duration sent{};
    };
    std::vector<first_request> requests;
    const auto go_on = [&]
    {
        if (fixture.self)
        {
            auto stream = std::make_unique<stream_of_requests>(fixture);
            if (!stream->caller.refused)
            {
                stream->send(requests.size() % 2 == 0 ? "GET" : "POST", 150ms);
                requests.push_back({std::move(stream), fixture.since_stop()});
            }
        }
        for (const auto& each : requests)
        {
            each.stream->caller.read();
            if (each.stream->caller.told_to_close)
            {
                each.stream->caller.close();
            }
        }
    };
    fixture.stop();
    fixture.run_to_end(go_on);
    for (const auto& each : requests)
    {
        fixture.read_all(each.stream->caller, 1);
        INFO(
            "sent " << ms_of(each.sent) << " ms after the signal, process ended after "
                    << ms_of(fixture.ended_after) << " ms");
        fixture.check_answers(each.stream->caller, each.stream->ids);
        if (each.sent + 20ms < fixture.ended_after)
        {
            CHECK(each.stream->caller.answers.size() == 1);
        }
    }
}

// Guards against connections from the listen queue that lose their request: they are established
// for their callers although the instance has not accepted them when it closes its listener.
TEST_CASE(
    "connections from the listen queue are answered whenever they send their first request",
    "[stop]")
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
TEST_CASE("a caller that connects while the listener closes is refused or answered", "[stop]")
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
TEST_CASE("a repeated stop changes nothing and an early one loses no request", "[stop]")
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
