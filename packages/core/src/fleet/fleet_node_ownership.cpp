#include <catkintally/core/fleet/fleet_node.hpp>

#include <catkintally/core/fleet/lease.hpp>
#include <catkintally/core/fleet/placement.hpp>

#include <utility>

namespace catkintally::core
{

using std::chrono::milliseconds;

void fleet_node::view_adopted()
{
    const time_point now = options_.timers->now();
    const view& current = views_.current();
    const std::uint64_t previous_epoch = std::exchange(last_epoch_, current.epoch);
    adopted_[current.epoch] = now;
    while (adopted_.size() > view_history_epochs + 1)
    {
        adopted_.erase(adopted_.begin());
    }
    options_.event(
        fleet_event::view_adopted, {{"epoch", std::to_string(current.epoch)},
                                    {"members", std::to_string(current.members.size())}});
    if (views_.self().id.incarnation != last_incarnation_)
    {
        last_incarnation_ = views_.self().id.incarnation;
        state_.add_self(views_.self().id);
        if (options_.self_changed)
        {
            options_.self_changed(views_.self());
        }
    }
    for (const member& entry : current.members)
    {
        if (!tracker_.last_heard(entry.id))
        {
            tracker_.grant_grace(entry.id, now);
        }
    }
    if (options_.members_changed)
    {
        options_.members_changed(current);
    }

    // Unused grants become invalid before any answer to a recover_request names what is in flight.
    client_.view_changed();
    place_services(previous_epoch);
    send_heartbeats();
    for (const waiting_recovery& waiting : std::exchange(waiting_recoveries_, {}))
    {
        wire::recover_request_data request;
        request.epoch = waiting.epoch;
        request.service = waiting.service;
        on_recover_request(waiting.from, request);
    }
}

void fleet_node::place_services(std::uint64_t previous_epoch)
{
    const view& current = views_.current();
    std::vector<std::string> lost;
    for (const auto& [name, owner] : owned_)
    {
        const member* placed = place_service(name, current.members).owner;
        if (!table_.services.contains(name) || placed == nullptr ||
            placed->id != views_.self().id || !owned_since(name, previous_epoch))
        {
            lost.push_back(name);
        }
    }
    for (const std::string& name : lost)
    {
        disown(name);
    }
    for (const auto& [name, config] : table_.services)
    {
        const member* placed = place_service(name, current.members).owner;
        if (placed != nullptr && placed->id == views_.self().id)
        {
            own_service(config, previous_epoch);
        }
    }
}

bool fleet_node::owned_since(const std::string& service, std::uint64_t epoch) const
{
    const view& current = views_.current();
    for (std::uint64_t e = epoch; e <= current.epoch; ++e)
    {
        const std::vector<member>* members = current.members_of(e);
        const member* placed =
            members == nullptr ? nullptr : place_service(service, *members).owner;
        if (placed == nullptr || placed->id != views_.self().id)
        {
            return false;
        }
    }
    return true;
}

void fleet_node::own_service(const service_config& config, std::uint64_t previous_epoch)
{
    const std::string& name = config.service.name;
    const view& current = views_.current();
    const duration retention = milliseconds(config.service.key_retention_ms);
    const bool new_epoch = previous_epoch != current.epoch;
    auto& owner = owned_[name];
    const bool continuous = owner != nullptr;
    if (continuous && !new_epoch)
    {
        return;
    }
    if (!owner)
    {
        owner = std::make_unique<service_owner>(service_owner_options{
            .service = name,
            .timers = options_.timers,
            .seed = options_.seed,
            .self = [this] { return views_.self().id; },
            .lease = [this] { return lease(); },
            .send = [this](const member_id& to, wire::payloadUnion message)
            { send(to, std::move(message)); },
            .probe =
                [this, name](const std::string& target)
            {
                if (options_.probe && lease())
                {
                    options_.probe(name, target);
                }
            },
            .event = options_.event,
            .key_capacity = options_.key_capacity,
            .complete_epoch = state_.complete_epoch(name)});
        owner->apply(config, table_);
    }
    // Every grant of an epoch before one that was adopted longer ago than the retention time has
    // expired; owners of those epochs lost their lease and their grants soon after the adoption.
    owner->adopt(
        current, continuous,
        recently_removed(milliseconds(config.service.deadline_ms) + silent_work_margin),
        [this, retention](std::uint64_t epoch)
        {
            const auto at = adopted_at(epoch);
            return at && options_.timers->now() - *at > retention + freshness_time;
        });
}

void fleet_node::disown(const std::string& service)
{
    const auto found = owned_.find(service);
    if (auto copy = found->second->hand_over())
    {
        state_.keep(service, std::move(*copy));
    }
    owned_.erase(found);
}

std::optional<time_point> fleet_node::adopted_at(std::uint64_t epoch) const
{
    // An epoch that was skipped here was in force no later than the next adopted one.
    const auto found = adopted_.lower_bound(epoch);
    return found == adopted_.end() ? std::nullopt : std::optional(found->second);
}

std::set<member_id> fleet_node::recently_removed(duration longest_work) const
{
    const view& current = views_.current();
    const time_point now = options_.timers->now();
    std::set<member_id> removed;
    for (const past_epoch& past : current.history)
    {
        const auto replaced = adopted_at(past.epoch + 1);
        if (replaced && now - *replaced > longest_work)
        {
            break;
        }
        for (const member& entry : past.members)
        {
            if (current.find(entry.id) == nullptr)
            {
                removed.insert(entry.id);
            }
        }
    }
    return removed;
}

} // namespace catkintally::core
