#pragma once

#include <catkintally/core/admission/crash_history.hpp>
#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <memory>
#include <vector>

namespace catkintally::core
{

/// Instances that handle one request, which crashes each target that runs it, and tell each other
/// over links of a ring with chords, as probing_gateway and gossip_node do.
struct crash_fleet
{
    static constexpr std::uint64_t fingerprint = 7;
    static constexpr duration link_delay = std::chrono::milliseconds(5);
    static constexpr duration work = std::chrono::milliseconds(100);

    explicit crash_fleet(std::size_t size)
    {
        for (std::size_t number = 0; number < size; ++number)
        {
            instances.push_back(make(number));
            side.push_back(0);
        }
    }

    /// The request arrives at an instance.
    void arrive(std::size_t at)
    {
        crash_records& records = instances[at]->refused();
        const auto arrival = records.note_arrival(fingerprint, timers.now());
        if (arrival.announcement)
        {
            send(at, *arrival.announcement);
        }
        if (arrival.verdict == crash_verdict::admitted)
        {
            run(at);
        }
        else if (arrival.verdict == crash_verdict::claimed)
        {
            timers.schedule_after(
                crash_records::claim_time,
                [this, at]
                {
                    if (instances[at]->refused().has_claim(fingerprint))
                    {
                        run(at);
                    }
                });
        }
    }

    /// A target runs the request, and crashes or responds.
    void run(std::size_t at)
    {
        ++attempts;
        timers.schedule_after(
            work,
            [this, at, sent_at = timers.now()]
            {
                if (!crashes)
                {
                    instances[at]->answered(fingerprint, timers.now());
                    clear(at);
                    return;
                }
                const target_crash crash{
                    .fingerprint = fingerprint,
                    .target = "t" + std::to_string(++crashed),
                    .sent_at = sent_at,
                    .crashed_at = timers.now()};
                instances[at]->add(crash, timers.now());
                send(at, crash);
            });
    }

    /// A new process without knowledge, which its neighbours link to.
    void restart(std::size_t number)
    {
        instances[number] = make(number + 1000);
        for (const std::size_t other : neighbours(number))
        {
            introduce(other, number);
        }
    }

    /// Sends what an instance knows over a new link.
    void introduce(std::size_t from, std::size_t to)
    {
        for (const crash_record& record : instances[from]->refused().all(timers.now()))
        {
            deliver(from, to, record);
        }
        for (const target_crash& crash : instances[from]->suspected())
        {
            deliver(from, to, crash);
        }
    }

    /// Ends a partition, in which instances of different sides do not hear each other.
    void join()
    {
        side.assign(side.size(), 0);
        for (std::size_t from = 0; from < instances.size(); ++from)
        {
            for (const std::size_t to : neighbours(from))
            {
                introduce(from, to);
            }
        }
    }

    /// Lets the request arrive at random instances, every `interval` for `time`.
    void keep_arriving(duration interval, duration time)
    {
        for (const auto end = timers.now() + time; timers.now() < end;)
        {
            arrive(random.next() % instances.size());
            timers.advance(interval);
        }
    }

    [[nodiscard]] std::size_t knowing() const
    {
        std::size_t count = 0;
        for (const auto& each : instances)
        {
            count += each->refused().contains(fingerprint) ? 1 : 0;
        }
        return count;
    }

    manual_timer_service timers;
    std::vector<std::unique_ptr<crash_history>> instances;
    std::vector<int> side;
    /// What targets do with the request.
    bool crashes = true;
    int attempts = 0;
    int crashed = 0;
    std::uint64_t messages = 0;
    split_mix random{1};

private:
    static std::unique_ptr<crash_history> make(std::size_t number)
    {
        return std::make_unique<crash_history>(claimant_number("i" + std::to_string(number), 1));
    }

    [[nodiscard]] std::vector<std::size_t> neighbours(std::size_t of) const
    {
        const std::size_t size = instances.size();
        const std::size_t chord = std::max<std::size_t>(size / 3, 1);
        return {
            (of + 1) % size, (of + size - 1) % size, (of + chord) % size,
            (of + size - chord) % size};
    }

    template <class Message>
    void send(std::size_t from, const Message& message)
    {
        for (const std::size_t to : neighbours(from))
        {
            deliver(from, to, message);
        }
    }

    template <class Message>
    void deliver(std::size_t from, std::size_t to, const Message& message)
    {
        ++messages;
        timers.schedule_after(
            link_delay,
            [this, from, to, message, sent_to = instances[to].get()]
            {
                if (side[from] == side[to] && sent_to == instances[to].get())
                {
                    receive(from, to, message);
                }
            });
    }

    void receive(std::size_t, std::size_t to, const target_crash& crash)
    {
        if (instances[to]->add(crash, timers.now()))
        {
            send(to, crash);
        }
    }

    void receive(std::size_t from, std::size_t to, const crash_record& record)
    {
        const auto news = instances[to]->refused().merge(record, timers.now());
        if (news.forward)
        {
            send(to, record);
        }
        if (news.cleared)
        {
            deliver(to, from, true);
        }
        if (news.reply)
        {
            deliver(to, from, *news.reply);
        }
    }

    void receive(std::size_t, std::size_t to, bool)
    {
        if (instances[to]->answered(fingerprint, timers.now()))
        {
            clear(to);
        }
    }

    void clear(std::size_t from) { send(from, true); }
};

} // namespace catkintally::core
