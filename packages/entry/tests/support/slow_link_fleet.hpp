#pragma once

#include "support/restorable_store.hpp"

#include <catkintally/core/admission/split_mix.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/news/update_messages.hpp>
#include <catkintally/entry/table/object_mirror.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>

#include <charconv>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace catkintally::entry
{

/// Fixed inputs of a slow_link_fleet.
struct slow_link_fleet_options
{
    std::size_t instances = 1;
    /// Of each instance's own link, in each direction.
    double bytes_per_s = 1'250'000;
    std::uint64_t seed = 1;
};

/// Mirrors of the configuration in virtual time. They are linked, forward updates and pull what
/// they have missed as gossip_node does, over links of limited bandwidth. The first one reads the
/// store.
class slow_link_fleet
{
public:
    explicit slow_link_fleet(const slow_link_fleet_options& options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t i = 0; i < options_.instances; ++i)
        {
            instances_.push_back(std::make_unique<instance>(store));
            make_mirror(i);
        }
        for (std::size_t i = 0; i < options_.instances; ++i)
        {
            link_to_others(i);
        }
    }

    /// Version of a configuration made by large_configuration().
    static std::uint64_t version_of(const core::store_object& object)
    {
        std::uint64_t version = 0;
        const auto start = object.value.find(':') + 2;
        std::from_chars(object.value.data() + start, object.value.data() + start + 8, version, 16);
        return version;
    }

    /// Configuration of `routes` routes with random paths, of about 230 bytes each. Two versions
    /// differ in the last route, apart from the number.
    static std::string large_configuration(std::uint64_t version, std::size_t routes)
    {
        core::split_mix random(7);
        std::string number(8, '0');
        for (std::size_t i = 8; i > 0; --i, version /= 16)
        {
            number[i - 1] = "0123456789abcdef"[version % 16];
        }
        std::string text = R"({"version":")" + number + R"(","rules":[)";
        for (std::size_t i = 0; i < routes; ++i)
        {
            const std::uint64_t path = i + 1 == routes ? i : random.next();
            text += R"({"name":"r)" + std::to_string(path % 100'000) +
                    R"(","route-type":"safe","target-latency-ms":800,"priority":2,"public":false,)"
                    R"("match":{"path-prefix":"/)" +
                    std::to_string(path) + '/' + (i + 1 == routes ? number : "a") +
                    R"("},"action":{"service":"desk","timeout-ms":4000,"max-attempts":2}},)";
        }
        text.back() = ']';
        return text + '}';
    }

    /// Writes a configuration to the store. The first one is known to all instances at once.
    void write(std::uint64_t version, std::size_t routes)
    {
        store.put("config/main", large_configuration(version, routes));
        if (instances_[0]->mirror->is_listed())
        {
            return;
        }
        instances_[0]->mirror->resume();
        pass(std::chrono::milliseconds(10));
        for (std::size_t i = 1; i < instances_.size(); ++i)
        {
            instances_[i]->mirror->offer(instances_[0]->mirror->whole());
        }
    }

    void pass(core::duration time)
    {
        for (const auto end = timers.now() + time; timers.now() < end;)
        {
            timers.advance(std::chrono::milliseconds(1));
        }
    }

    /// Number of instances that know the version, or a later one.
    [[nodiscard]] std::size_t knowing(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(
            instances_.begin(), instances_.end(),
            [&](const auto& each) { return each->mirror->state().content >= version; }));
    }

    /// Bytes that the instances have sent to each other.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

    core::manual_timer_service timers;
    restorable_store store{timers};

private:
    struct instance
    {
        explicit instance(restorable_store& store)
            : client(store)
        {
        }

        restorable_store::client client;
        std::unique_ptr<object_mirror> mirror;
        std::set<std::size_t> neighbours;
        core::time_point output_free;
        core::time_point input_free;
        std::optional<core::time_point> last_pull;
    };

    struct message
    {
        object_update update;
        std::size_t size = 0;
    };
    using shared_message = std::shared_ptr<const message>;

    void make_mirror(std::size_t index)
    {
        instance& made = *instances_[index];
        made.mirror = std::make_unique<object_mirror>(object_mirror_options{
            .store = &made.client,
            .timers = &timers,
            .prefix = "config/",
            .changed = [] {},
            .updated =
                [this, index](const object_update& update)
            {
                if (!update.whole)
                {
                    send_to_all(index, encode(update), index);
                }
            },
            .on_answered = [] {},
            .content = version_of,
            .on_call_failure = [] {}});
    }

    void link_to_others(std::size_t index)
    {
        constexpr std::size_t dialled = 3;
        for (std::size_t i = 0; i < dialled && options_.instances > 1; ++i)
        {
            const std::size_t other =
                (index + 1 + random_.next() % (options_.instances - 1)) % options_.instances;
            instances_[index]->neighbours.insert(other);
            instances_[other]->neighbours.insert(index);
        }
    }

    /// What arrives at the others, which is all that they know of the update.
    static shared_message encode(const object_update& update)
    {
        const auto data = to_message(update);
        return std::make_shared<message>(message{
            .update = to_update(*data.Asnews_update()),
            .size = wire::encode_frame(data).value().size()});
    }

    void send(std::size_t from, std::size_t to, std::size_t size, std::function<void()> received)
    {
        bytes_ += size;
        const auto time = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(static_cast<double>(size) / options_.bytes_per_s));
        auto& output = instances_[from]->output_free;
        auto& input = instances_[to]->input_free;
        output = std::max(timers.now(), output) + time;
        input = std::max(output, input + time);
        constexpr auto latency = std::chrono::milliseconds(1);
        timers.schedule_after(input - timers.now() + latency, std::move(received));
    }

    void send_update(std::size_t from, std::size_t to, const shared_message& sent)
    {
        send(from, to, sent->size, [this, from, to, sent] { receive(from, to, sent); });
    }

    void send_to_all(std::size_t from, const shared_message& sent, std::size_t except)
    {
        for (const std::size_t each : instances_[from]->neighbours)
        {
            if (each != except)
            {
                send_update(from, each, sent);
            }
        }
    }

    void receive(std::size_t from, std::size_t to, const shared_message& received)
    {
        switch (instances_[to]->mirror->offer(received->update))
        {
        case update_result::applied:
            if (received->update.whole)
            {
                announce(to);
            }
            else
            {
                send_to_all(to, received, from);
            }
            break;
        case update_result::gap:
            pull(to, from);
            break;
        case update_result::not_newer:
            break;
        }
    }

    void announce(std::size_t from)
    {
        constexpr std::size_t size = 150;
        const object_state known = instances_[from]->mirror->state();
        for (const std::size_t each : instances_[from]->neighbours)
        {
            send(
                from, each, size,
                [this, from, each, known]
                {
                    if (!instances_[each]->mirror->state().covers(known))
                    {
                        pull(each, from);
                    }
                });
        }
    }

    void pull(std::size_t to, std::size_t from)
    {
        constexpr auto pull_timeout = std::chrono::milliseconds(200);
        constexpr std::size_t size = 40;
        auto& last = instances_[to]->last_pull;
        if (last && timers.now() - *last < pull_timeout)
        {
            return;
        }
        last = timers.now();
        send(
            to, from, size,
            [this, to, from] { send_update(from, to, encode(instances_[from]->mirror->whole())); });
    }

    slow_link_fleet_options options_;
    core::split_mix random_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::size_t bytes_ = 0;
};

} // namespace catkintally::entry
