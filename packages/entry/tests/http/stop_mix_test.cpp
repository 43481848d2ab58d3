#include "support/virtual_instance.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace catkintally::entry;
using namespace std::chrono_literals;
namespace core = catkintally::core;

namespace
{

enum class sending : std::uint8_t
{
    one_by_one,
    pipelined,
    in_parts,
    /// Also after `Connection: close`, until the connection ends.
    without_end,
    /// Closes its sending side after its request.
    half_close
};

enum class reading : std::uint8_t
{
    at_once,
    slowly,
    /// After the end of the process.
    last
};

constexpr int full_duplex_ways = 4;
constexpr int all_ways = 5;

struct sent_request
{
    std::string id;
    core::time_point at{};
    core::duration deadline{};
    core::duration work{};
};

/// A caller with one connection.
struct mixed_caller
{
    /// Choices of its own, so that callers do not change each other's.
    std::mt19937 random;
    std::unique_ptr<plain_caller> socket;
    sending sends = sending::one_by_one;
    reading reads = reading::at_once;
    std::size_t body = 2;
    core::duration pause{};
    core::time_point next{};
    std::string rest;
    core::time_point rest_due{};
    bool half_closed = false;
    std::vector<sent_request> sent;
};

int pick(std::mt19937& random, int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(random);
}

bool chance(std::mt19937& random, int of)
{
    return pick(random, 1, of) == 1;
}

template <class Value>
Value any_of(std::mt19937& random, const std::vector<Value>& values)
{
    return values[static_cast<std::size_t>(pick(random, 0, static_cast<int>(values.size()) - 1))];
}

/// Callers of all kinds around one planned stop, chosen by a seed.
class mixed_stop
{
public:
    mixed_stop(std::uint32_t seed, int ways)
        : random_(seed)
        , fixture(
              {.drain = std::chrono::milliseconds(pick(random_, 20, 900)),
               .grace = std::chrono::milliseconds(pick(random_, 1'200, 3'000)),
               .leave_time =
                   std::chrono::milliseconds(chance(random_, 3) ? pick(random_, 1, 5'000) : 0),
               .remove_time =
                   std::chrono::milliseconds(chance(random_, 3) ? pick(random_, 1, 300) : 0)})
    {
        for (std::uint32_t each = 0; each < 24; ++each)
        {
            mixed_caller& caller = callers.emplace_back();
            std::mt19937& random = caller.random;
            random.seed(seed * 100 + each);
            caller.sends = static_cast<sending>(pick(random, 0, ways - 1));
            caller.reads = static_cast<reading>(pick(random, 0, 2));
            const bool many =
                caller.sends == sending::pipelined || caller.sends == sending::without_end;
            // All that one caller leaves unread fits into the kernel's buffer for sending.
            const std::size_t longest = many && caller.reads != reading::at_once ? 4'000 : 280'000;
            caller.body = std::min(longest, any_of<std::size_t>(random, {2, 2, 40'000, 280'000}));
            caller.pause = std::chrono::milliseconds(chance(random, 2) ? pick(random, 1, 400) : 0);
            caller.next = fixture.timers.now() + std::chrono::milliseconds(pick(random, 0, 900));
        }
    }

    void play()
    {
        fixture.run_for(600ms, [this] { step(); });
        fixture.stop();
        const int second = pick(random_, 1, 1'500);
        fixture.run_to_end(
            [&]
            {
                if (fixture.self && fixture.since_stop() == std::chrono::milliseconds(second))
                {
                    fixture.stop();
                }
                step();
            });
        for (mixed_caller& caller : callers)
        {
            if (caller.socket)
            {
                fixture.read_all(*caller.socket, caller.sent.size());
            }
        }
    }

    void check()
    {
        const auto ended = fixture.timers.now();
        for (std::size_t number = 0; number < callers.size(); ++number)
        {
            const mixed_caller& caller = callers[number];
            if (!caller.socket)
            {
                continue;
            }
            const auto& answers = caller.socket->answers;
            INFO(
                "caller " << number << ", sending " << static_cast<int>(caller.sends)
                          << ", reading " << static_cast<int>(caller.reads) << ", body "
                          << caller.body << ", connection " << name_of(caller.socket->end) << ", "
                          << answers.size() << " answers to " << caller.sent.size() << " requests");
            CHECK(answers.size() <= caller.sent.size());
            for (std::size_t at = 0; at < caller.sent.size(); ++at)
            {
                check_request(caller.sent[at], at < answers.size() ? &answers[at] : nullptr, ended);
            }
        }
    }

private:
    void send(mixed_caller& caller)
    {
        std::mt19937& random = caller.random;
        const auto deadline =
            std::chrono::milliseconds(any_of<int>(random, {100, 300, 900, 2'500, 8'000}));
        const auto work = std::chrono::milliseconds(any_of<int>(random, {2, 20, 150, 600, 1'500}));
        fixture.next_work = {.time = work, .body_bytes = caller.body};
        const std::string text = fixture.request(chance(random, 2) ? "GET" : "POST", deadline);
        caller.sent.push_back({fixture.last_id(), fixture.timers.now(), deadline, work});
        if (caller.sends == sending::in_parts)
        {
            const auto part = static_cast<std::size_t>(pick(random, 0, 999));
            const std::size_t cut = 1 + part * (text.size() - 1) / 1'000;
            caller.socket->send(text.substr(0, cut));
            caller.rest = text.substr(cut);
            caller.rest_due =
                fixture.timers.now() + std::chrono::milliseconds(pick(random, 1, 300));
            return;
        }
        caller.socket->send(text);
        if (caller.sends == sending::half_close)
        {
            caller.half_closed = true;
            caller.socket->half_close();
        }
    }

    void step()
    {
        const auto now = fixture.timers.now();
        for (mixed_caller& caller : callers)
        {
            if (now < caller.next)
            {
                continue;
            }
            if (!caller.socket)
            {
                const bool long_answer = caller.body > 2;
                caller.socket =
                    std::make_unique<plain_caller>(fixture.port, long_answer ? 16'384 : 0);
            }
            plain_caller& socket = *caller.socket;
            read(caller);
            const std::size_t outstanding = caller.sent.size() - socket.answers.size();
            const bool gone = socket.end != connection_end::none || socket.send_failed;
            const bool stays = !socket.told_to_close || caller.sends == sending::without_end;
            if (gone || caller.half_closed || !fixture.self)
            {
                continue;
            }
            if (!caller.rest.empty())
            {
                if (now >= caller.rest_due)
                {
                    socket.send(std::exchange(caller.rest, ""));
                    // Only what was whole before the connection was told to close is owed.
                    caller.sent.back().at = now;
                }
                continue;
            }
            const std::size_t most = caller.reads == reading::at_once ? 400 : 60;
            const std::size_t depth = caller.sends == sending::pipelined ? 8 : 1;
            if (stays && (outstanding < depth || caller.sends == sending::without_end) &&
                caller.sent.size() < most)
            {
                send(caller);
                caller.next = now + std::max<core::duration>(caller.pause, 1ms);
            }
        }
    }

    void read(mixed_caller& caller)
    {
        if (caller.reads == reading::last)
        {
            return;
        }
        if (caller.reads != reading::slowly)
        {
            caller.socket->read();
        }
        else if (chance(caller.random, 10))
        {
            fixture.read_slowly(*caller.socket, 4'000);
        }
    }

    void check_request(
        const sent_request& sent, const caller_answer* answer, core::time_point ended) const
    {
        const auto since = [&](core::time_point at)
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                       at - (ended - fixture.ended_after))
                .count();
        };
        INFO(
            sent.id << " sent " << since(sent.at) << " ms after the signal, deadline "
                    << std::chrono::duration_cast<std::chrono::milliseconds>(sent.deadline).count()
                    << " ms, run " << fixture.has_run(sent.id) << ", process ended after "
                    << since(ended) << " ms, answer "
                    << (answer != nullptr ? answer->head : std::string("none")));
        if (!fixture.has_run(sent.id))
        {
            if (answer != nullptr)
            {
                CHECK((answer->status() == 503 || answer->status() == 504));
                CHECK(answer->field("catkintally-outcome") == "not-run");
            }
            return;
        }
        CHECK(fixture.run.at(sent.id) == 1);
        CHECK(answer != nullptr);
        if (answer == nullptr)
        {
            return;
        }
        CHECK(answer->field("catkintally-request-id") == sent.id);
        if (answer->status() == 504)
        {
            CHECK(sent.work >= sent.deadline);
            return;
        }
        if (answer->status() == 502)
        {
            // The target is at work in the last sixth of the grace.
            CHECK(fixture.ended_after >= fixture.plan.grace * 5 / 6);
            CHECK(
                fixture.run_at.at(sent.id) + sent.work >=
                ended - fixture.ended_after + fixture.plan.grace * 5 / 6);
            return;
        }
        CHECK(fixture.whole(*answer, sent.id));
    }

    std::mt19937 random_;

public:
    virtual_instance fixture;
    std::vector<mixed_caller> callers;
};

} // namespace

// Guards against any combination of callers, answers and steps of a planned stop that loses an
// answer to a request that a target has received.
TEST_CASE("mixed callers around a planned stop lose no answer", "[stop_mix]")
{
    const int ways = GENERATE(full_duplex_ways, all_ways);
    const std::uint32_t seed = GENERATE(range(1U, 61U));
    INFO("seed " << seed << ", " << ways << " ways to send");
    mixed_stop stop(seed, ways);
    stop.play();
    stop.check();
}
