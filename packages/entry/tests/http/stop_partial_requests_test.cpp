#include "support/virtual_instance.hpp"

#include <catch2/catch.hpp>

using namespace catkintally::entry;
using namespace std::chrono_literals;
namespace core = catkintally::core;

namespace
{

constexpr auto never = 1'000'000ms;

/// Sends `first` at the stop signal and `second` `delay` after it, and returns when the process has
/// ended and everything has been read.
void send_in_parts(
    virtual_instance& fixture,
    plain_caller& caller,
    const std::string& first,
    const std::string& second,
    std::chrono::milliseconds before,
    std::chrono::milliseconds delay,
    std::size_t answers)
{
    caller.send(first);
    fixture.run_for(before);
    fixture.stop();
    bool sent = false;
    fixture.run_to_end(
        [&]
        {
            caller.read();
            if (!sent && fixture.since_stop() >= delay && caller.end == connection_end::none)
            {
                sent = true;
                caller.send(second);
            }
        });
    fixture.read_all(caller, answers);
}

} // namespace

// Guards against a request that arrives in parts around the stop signal and ends without an answer.
TEST_CASE("a request that is sent in parts around a planned stop is answered", "[stop_mix]")
{
    enum class cut
    {
        head,
        body,
        chunked_body
    };
    const auto where = GENERATE(cut::head, cut::body, cut::chunked_body);
    const auto before = GENERATE(1ms, 700ms);
    const auto delay = GENERATE(0ms, 5ms, 299ms, 301ms, 700ms, 1'090ms, never);
    const bool kept = GENERATE(false, true);
    const std::size_t body = GENERATE(2U, 280'000U);
    INFO(
        "cut " << static_cast<int>(where) << ", first part " << before.count()
               << " ms before the signal, second " << delay.count() << " ms after it, kept " << kept
               << ", answer of " << body << " bytes");
    virtual_instance fixture;
    plain_caller caller(fixture.port);
    std::vector<std::string> ids;
    if (kept)
    {
        caller.send(fixture.request("GET"));
        ids.push_back(fixture.last_id());
        fixture.run_for(50ms, [&] { caller.read(); });
    }
    fixture.next_work.body_bytes = body;
    std::string text = fixture.request("POST", 100ms);
    ids.push_back(fixture.last_id());
    if (where == cut::chunked_body)
    {
        const std::string framed = "Content-Length: 4\r\n\r\nbody";
        text.replace(
            text.find(framed), framed.size(),
            "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
    }
    const std::size_t at = where == cut::head ? 20 : text.size() - (where == cut::body ? 2 : 12);
    send_in_parts(fixture, caller, text.substr(0, at), text.substr(at), before, delay, ids.size());
    INFO(
        "process ended after "
        << std::chrono::duration_cast<std::chrono::milliseconds>(fixture.ended_after).count());
    fixture.check_answers(caller, ids);
    CHECK(caller.answers.size() == ids.size());
}

// Guards against a caller that waits for 100 Continue in a planned stop, also behind an earlier
// request, and gets neither that nor an answer.
TEST_CASE("a caller that waits for 100 Continue is answered around a planned stop", "[stop_mix]")
{
    const auto behind = GENERATE(0ms, 20ms, 400ms);
    // Time of the head, relative to the signal.
    const auto before = GENERATE(50ms, 1ms, 0ms);
    const auto pause = GENERATE(0ms, 50ms);
    INFO(
        "behind a request of " << behind.count() << " ms, head " << before.count()
                               << " ms before the signal, body " << pause.count()
                               << " ms after 100 Continue");
    virtual_instance fixture;
    plain_caller caller(fixture.port);
    std::vector<std::string> ids;
    if (behind > 0ms)
    {
        fixture.next_work.time = behind;
        caller.send(fixture.request("GET"));
        ids.push_back(fixture.last_id());
    }
    fixture.next_work.time = 5ms;
    const std::string text = fixture.request("POST", 300ms, "Expect: 100-continue\r\n");
    ids.push_back(fixture.last_id());
    const std::string body = "body";
    caller.send(text.substr(0, text.size() - body.size()));
    core::time_point told{};
    const auto follow = [&]
    {
        const std::size_t interim = caller.interim;
        caller.read();
        if (caller.interim > 0 && interim == 0)
        {
            told = fixture.timers.now();
        }
        if (caller.interim > 0 && caller.answers.size() < ids.size() &&
            fixture.timers.now() == told + pause)
        {
            caller.send(body);
        }
    };
    fixture.run_for(before, follow);
    fixture.stop();
    fixture.run_to_end(follow);
    fixture.read_all(caller, ids.size());
    INFO("interim responses: " << caller.interim);
    fixture.check_answers(caller, ids);
    CHECK(caller.answers.size() == ids.size());
}

// Guards against a caller that waits for 100 Continue behind an earlier request and gets it only
// once it has sent more.
TEST_CASE("100 Continue is sent once the requests before it are answered", "[stop_mix]")
{
    virtual_instance fixture;
    plain_caller caller(fixture.port);
    fixture.next_work.time = 100ms;
    caller.send(fixture.request("GET"));
    std::vector<std::string> ids = {fixture.last_id()};
    const std::string text = fixture.request("POST", 1s, "Expect: 100-continue\r\n");
    ids.push_back(fixture.last_id());
    caller.send(text.substr(0, text.size() - 4));
    fixture.run_for(50ms, [&] { caller.read(); });
    // It is not sent before the earlier answer, for which it would be taken.
    CHECK(caller.interim == 0);
    fixture.run_for(100ms, [&] { caller.read(); });
    CHECK(caller.answers.size() == 1);
    CHECK(caller.interim == 1);
    caller.send(text.substr(text.size() - 4));
    fixture.run_for(200ms, [&] { caller.read(); });
    CHECK(caller.answers.size() == 2);
    fixture.check_answers(caller, ids);
}

// Guards against an interim response to a caller of HTTP/1.0, which does not know such responses.
TEST_CASE("an expectation of an HTTP/1.0 request is ignored", "[stop_mix]")
{
    virtual_instance fixture;
    plain_caller caller(fixture.port);
    const std::string text =
        fixture.request("POST", 1s, "Expect: 100-continue\r\n", "body", "HTTP/1.0");
    const std::size_t head = text.size() - std::string("body").size();
    caller.send(text.substr(0, head));
    fixture.run_for(50ms);
    caller.read();
    CHECK(caller.interim == 0);
    caller.send(text.substr(head));
    fixture.run_for(50ms);
    fixture.read_all(caller, 1);
    fixture.check_answers(caller, {fixture.last_id()});
}
